// Starts a deployment of separate processes on the loopback address: the
// platform, engines, plain services, relays and entry instances. For process
// tests and experiments. Ends only the processes that it started.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab_server.h"
#include "transport/http_client.h"

namespace bilberrypitch::schema {
class Document;
}

namespace bilberrypitch::lab {

// Where the two programs are.
struct ProgramPaths {
  std::string product;
  std::string lab;
};

struct EngineShape {
  int adapter_slots = 4;
  int batch_slots = 8;
  int step_ms = 5;
  int load_ms = 100;
  bool checks_fencing = false;
};

// Deadlines that the instances' settings state, in milliseconds.
struct InstanceShape {
  int request_ms = 20000;
  int queue_ms = 10000;
  int first_byte_ms = 3000;
  int progress_ms = 1500;
  int drain_ms = 15000;
  int threads = 2;
  int queue_length = 2000;
  std::string policy = "standard";
};

// Not thread-safe, but for Ask and Call.
class Deployment {
 public:
  explicit Deployment(ProgramPaths paths);
  ~Deployment();

  void StartPlatform(int list_lag_ms);
  void StartEngine(const std::string& name, const std::string& zone,
                   const EngineShape& shape, const std::string& pool = "pool");
  void StartService(const std::string& name, const std::string& zone,
                    const std::string& pool);
  // Puts a relay before an upstream or before "store"; what is configured
  // afterwards goes through it.
  void StartRelay(const std::string& target);
  void SetRelay(const std::string& target, const std::string& mode);
  void StartInstance(const std::string& name, const std::string& zone,
                     const InstanceShape& shape = {});

  // The document that PutDocument sends; changed by the caller.
  schema::Document& document() { return *document_; }
  void AddWorkspace(const std::string& name, double rate, double burst);
  void AddAdapters(const std::string& prefix, int n,
                   const std::string& workspace,
                   const std::string& pool = "pool");
  void AddZone(const std::string& name, uint32_t slots);
  // Returns the status.
  int PutDocument(const std::string& instance, uint64_t base);
  std::string IssueKey(const std::string& instance,
                       const std::string& workspace);
  int WithdrawKey(const std::string& instance, const std::string& key);

  // Process control by name.
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  // SIGTERM, then waits; the exit code, or -1 when it did not end in time.
  int Terminate(const std::string& name);
  // Starts a process that has ended again, with the same arguments.
  void Restart(const std::string& name);
  bool Alive(const std::string& name);
  void Unlist(const std::string& instance);
  void ListUpstreamLeaving(const std::string& upstream);

  // A call to a process's port: "entry-1", "entry-1/operator", "engine-a".
  CallOutcome Call(const std::string& port, const std::string& method,
                   const std::string& target, const std::string& body,
                   const HttpHeaders& headers = {},
                   CallDeadlines deadlines = {});
  // A chat completion.
  CallOutcome Ask(const std::string& instance, const std::string& key,
                  const std::string& model, int tokens, bool stream = false,
                  const std::string& text = "hello");
  void SetFaults(const std::string& name, const json::object& faults);
  json::object Facts(const std::string& name);
  json::object Status(const std::string& instance);
  // The value of one metric line, 0 when it is not there.
  double Metric(const std::string& instance, const std::string& line);
  std::string Log(const std::string& name) const;
  std::string Address(const std::string& port) const;
  pid_t Pid(const std::string& name) const;
  HttpClient* client() { return &client_; }
  // Until `done`, or false after `ms`.
  static bool WaitFor(int ms, const std::function<bool()>& done);
  void WaitReady(const std::vector<std::string>& instances);

 private:
  struct Process {
    std::vector<std::string> arguments;
    pid_t pid = 0;
    bool running = false;
  };
  struct Listed {
    std::string zone;
    std::string peer_address;
    bool listed = true;
  };

  uint16_t FreePort();
  void Spawn(const std::string& name);
  void Start(const std::string& name, std::vector<std::string> arguments);
  void PublishList();
  void AddUpstream(const std::string& name, const std::string& zone,
                   const std::string& pool, bool engine,
                   const EngineShape& shape);

  const ProgramPaths paths_;
  const std::string folder_;  // For settings and logs; removed at the end.
  HttpClient client_;
  uint16_t next_port_;
  std::map<std::string, Process> processes_;
  std::map<std::string, uint16_t> ports_;
  std::map<std::string, Listed> listed_;
  std::vector<std::string> leaving_upstreams_;
  std::unique_ptr<schema::Document> document_;
};

}  // namespace bilberrypitch::lab
