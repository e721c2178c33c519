// What the cases share: sockets, HTTP messages, processes, settings, and the
// record of what was sent, answered and run.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

inline constexpr int kHeld = 0;  // Exit codes of a case.
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Milliseconds on the steady clock since the program started.
int64_t NowMs();
void SleepMs(int64_t ms);
// Whether the case brings the disruption about: TROUBLE is not 0.
bool WithTrouble();

// Lines with a time, for record.txt. May be used by several threads.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// A connected socket. Moving hands the descriptor over.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  // Connects to a port on the loopback address; is_open() tells the outcome.
  static Connection To(uint16_t port);
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection();

  bool is_open() const { return fd_ >= 0; }
  bool Send(std::string_view bytes);
  // Reads what is there within the time. Empty: the end, a reset or no byte in
  // time.
  std::string Read(int64_t timeout_ms);
  void Close();

 private:
  int fd_;
};

// A message without its framing.
struct Message {
  std::string start;                          // The first line.
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;
  bool complete = false;

  int status() const;
  std::string Field(const std::string& name) const;
};

// Reads one message that has a length, chunks or, if it is a request, no body.
// `rest` holds bytes that were read beyond it.
Message ReadMessage(Connection* connection, std::string* rest,
                    int64_t timeout_ms, bool is_request);

// One call on a connection of its own; nothing without a complete response.
std::optional<Message> Call(uint16_t port, const std::string& method,
                            const std::string& target, const std::string& body);

// Listens on a free port and handles each connection on a thread of its own.
uint16_t Serve(std::function<void(Connection)> handle);
uint16_t FreePort();

// A process that the case started. `most_descriptors`: 0 for no limit.
class Process {
 public:
  Process(const std::string& name, const std::vector<std::string>& args,
          const std::vector<std::string>& environment,
          const std::string& directory, rlim_t most_descriptors = 0);
  ~Process();  // Ends it.
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  // The exit status as waitpid() states it, once the process has ended.
  std::optional<int> ExitStatus();
  void Signal(int signal);
  // Memory that is resident, in MB.
  int64_t ResidentMb() const;

 private:
  pid_t pid_;
  std::optional<int> status_;
};

std::string DescribeExit(int status);

// The small deployment of a case: the platform's store, the operator's
// configuration and the system's own machines.
struct Machine {
  std::string name;
  uint16_t front = 0;
  uint16_t ready = 0;
  std::unique_ptr<Process> process;
};

class Deployment {
 public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Each returns false if it doesn't start.
  bool StartStore();
  bool StartMachine(const std::string& name, const std::string& zone,
                    Machine* machine);
  void Write(const std::string& key, const std::string& value);
  // Keeps the entry of a server written, as the server itself would.
  void Register(const std::string& id, const std::string& service,
                uint16_t port, const std::string& models);
  uint16_t store_port() const { return store_port_; }
  const std::string& directory() const { return directory_; }

 private:
  std::string directory_;
  uint16_t store_port_ = 0;
  std::unique_ptr<Process> store_;
};

// The parts of op/config.
struct RouteSpec {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 0;
  int gap_aim_ms = 0;  // 0: none.
};
std::string ConfigJson(int version, const std::vector<RouteSpec>& routes);

inline constexpr char kHost[] = "ficu95.example";
inline constexpr char kModel[] = "base";
inline constexpr char kKey[] = "i9n73hh2b9wu3fexd9dn";
inline constexpr char kModelService[] = "taal";
inline constexpr char kPlainService[] = "app";

// A request as a client sends it. `fields`: further lines, each with its end.
std::string RequestText(const std::string& target, const std::string& id,
                        int deadline_ms, const std::string& fields,
                        const std::string& body);

std::string LabPath();

}  // namespace review
