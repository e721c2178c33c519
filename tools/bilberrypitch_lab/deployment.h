// A deployment of separate processes on the loopback address, as on the
// platform: its store, upstreams, relays and instances. For process tests, the
// demonstration and the fault soak.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab_server.h"
#include "process_group.h"
#include "transport/http_client.h"

namespace bilberrypitch::lab {

// Where the two programs are.
struct ProgramPaths {
  std::string product;
  std::string lab;
};

struct WorkspaceShape {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_s = 0;  // Requests; 0: no limit.
  double burst = 0;
};

// What the operator's configuration holds. Its routes are those of kHost:
//   /v1/ is asked through the completions interface, on engines;
//   /once/ may run once, /read/ may repeat, /hours/ needs no key: all plain;
//   /ask/ may repeat, /stream/ and /resume/ are streams: all on engines.
struct ConfigShape {
  int64_t version = 1;
  std::vector<WorkspaceShape> workspaces;
  int timeout_ms = 8000;
  bool has_read_route = true;
  int adapter_slots = 4;  // Of each engine.
  int64_t body_bytes = 1 << 20;
  int64_t header_bytes = 16 << 10;
};

struct UpstreamShape {
  bool engine = true;  // Else a plain service.
  std::string zone = "a";
  int adapter_slots = 4;
  int batch_slots = 8;
  int step_ms = 5;
  int load_ms = 100;
  bool relayed = false;  // Reached through a relay.
};

// One request as a caller sends it.
struct Asked {
  std::string path = "/ask/x";
  std::string key;
  std::string body = "hello";
  std::string adapter;
  int tokens = 4;
  int deadline_ms = 6000;
  std::string last_event_id;
  size_t padding_bytes = 0;  // Of a header field that says nothing.
};

// Not thread-safe, but for Ask, Call, Facts and SetFaults.
class Deployment {
 public:
  static constexpr char kHost[] = "club.example";

  explicit Deployment(ProgramPaths paths);

  void StartStore();
  void StartUpstream(const std::string& name, const UpstreamShape& shape);
  // With a relay its calls to the store go through "relay-store-NAME".
  void StartInstance(const std::string& name, const std::string& zone,
                     bool relayed_store = false);
  // Writes the configuration; it is in force some time later.
  void WriteConfig(const ConfigShape& config);
  // Names a version of an adapter that is to be used from now on.
  void WriteVersion(const std::string& adapter, int64_t version);
  void WriteItem(const std::string& key, const std::string& value);
  // Throws std::runtime_error when it doesn't get ready.
  void WaitReady(const std::string& instance);
  bool Ready(const std::string& instance);
  // The same through the completions interface, for the adapter "base/ADAPTER".
  CallOutcome Complete(const std::string& instance, const std::string& key,
                       const std::string& adapter);

  CallOutcome Ask(const std::string& instance, const Asked& asked);
  CallOutcome Call(const std::string& port, const std::string& method,
                   const std::string& target, const std::string& body);
  void SetFaults(const std::string& name, const json::object& faults);
  // "pass", "cut", "refuse", "silence_open" or "lose_answers".
  void SetRelay(const std::string& target, const std::string& mode);
  json::object Facts(const std::string& name);
  // Over all upstreams that run.
  int64_t SumOfFacts(const std::string& fact);
  // A line of the instance's metrics; 0 when there is none.
  double Metric(const std::string& instance, const std::string& name);
  std::string Address(const std::string& port) const;

  ProcessGroup& processes() { return processes_; }
  HttpClient* client() { return &client_; }
  const std::vector<std::string>& instances() const { return instances_; }
  const std::vector<std::string>& upstreams() const { return upstreams_; }

 private:
  void StartRelay(const std::string& name, const std::string& target);
  std::string BootFile(const std::string& name, const std::string& zone,
                       const std::string& store);
  std::string PortOf(const std::string& name) const;

  const ProgramPaths paths_;
  std::map<std::string, uint16_t> ports_;
  std::vector<std::string> instances_;
  std::vector<std::string> upstreams_;
  std::atomic<int64_t> next_request_ = 1;
  HttpClient client_;
  ProcessGroup processes_;
};

}  // namespace bilberrypitch::lab
