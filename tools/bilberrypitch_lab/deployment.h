// A deployment of separate processes on the loopback address that resembles the
// platform: store, upstreams, relays and instances. Used by the process tests
// and the demonstration.
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

// Paths of the executables.
struct ProgramPaths {
  std::string gateway;  // bilberrypitch
  std::string lab;      // bilberrypitch_lab
};

// A workspace in the operator's configuration.
struct WorkspaceConfig {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_s = 0;  // Requests per second; 0: no limit.
  double burst = 0;
};

// The operator's configuration. All routes belong to kHost.
// Routes to the plain service:
//   /once/ is not idempotent, /read/ is idempotent, /hours/ needs no key.
// Routes to the engines:
//   /v1/ serves the completions API, /ask/ is idempotent, /stream/ is a stream,
//   /resume/ is a stream that can be resumed.
struct OperatorConfig {
  int64_t version = 1;
  std::vector<WorkspaceConfig> workspaces;
  int timeout_ms = 8000;
  bool has_read_route = true;
  int adapter_slots = 4;  // Configured for each engine.
  int64_t body_bytes = 1 << 20;
  int64_t header_bytes = 16 << 10;
};

// How an upstream is started.
struct UpstreamOptions {
  bool is_engine = true;  // False: a plain service.
  std::string zone = "a";
  int adapter_slots = 4;
  int batch_slots = 8;
  int step_ms = 5;
  int load_ms = 100;
  bool use_relay = false;  // Instances reach it through "relay-NAME".
};

// The limits that the platform's boot file states for an instance's machine.
struct MachineLimits {
  int memory_mb = 260;
  int max_descriptors = 4100;
};

// A request as a caller sends it.
struct CallerRequest {
  std::string path = "/ask/x";
  std::string key;
  std::string body = "hello";
  std::string adapter;
  int tokens = 4;
  int timeout_ms = 6000;
  std::string last_event_id;
  size_t padding_bytes = 0;  // Length of the unused header field X-Padding.
};

// Starts the processes and sends requests to them. Processes and ports have
// names; the ports of an instance are NAME, NAME/ready, NAME/peer and
// NAME/completions. SendRequest(), Call(), GetStats() and SetFaults() may be
// called from any thread; everything else is not thread-safe.
class Deployment {
 public:
  static constexpr char kHost[] = "club.example";

  explicit Deployment(ProgramPaths paths);

  // StartStore() and StartUpstream() wait until the process responds, and throw
  // std::runtime_error when it does not.
  void StartStore();
  void StartUpstream(const std::string& name, const UpstreamOptions& options);
  // Applies to instances that are started afterwards.
  void SetMachineLimits(const MachineLimits& limits) {
    machine_limits_ = limits;
  }
  // Does not wait; see WaitUntilReady(). With `use_store_relay` the instance
  // reaches the store through "relay-store-NAME".
  void StartInstance(const std::string& name, const std::string& zone,
                     bool use_store_relay = false);
  // Writes the configuration to the store. Instances apply it asynchronously.
  void WriteConfig(const OperatorConfig& config);
  // Writes the version of an adapter that requests have to use from now on.
  void WriteRequiredVersion(const std::string& adapter, int64_t version);
  void WriteStoreItem(const std::string& key, const std::string& value);
  // Throws std::runtime_error when the instance does not become ready in time.
  void WaitUntilReady(const std::string& instance);
  bool IsReady(const std::string& instance);
  // Sends a request for model "base/ADAPTER" through the completions API.
  CallOutcome SendCompletion(const std::string& instance,
                             const std::string& key,
                             const std::string& adapter);

  // Sends a request to the instance and blocks until the call has ended.
  CallOutcome SendRequest(const std::string& instance,
                          const CallerRequest& request);
  // Sends an HTTP request to a named port and blocks until the call has ended.
  CallOutcome Call(const std::string& port_name, const std::string& method,
                   const std::string& target, const std::string& body);
  // Replaces the injected faults. `name` is the port of a fake or the control
  // port of a relay.
  void SetFaults(const std::string& name, const json::object& faults);
  // `mode` is "pass", "cut", "refuse", "silence_open" or "lose_answers"; see
  // RelayMode.
  void SetRelayMode(const std::string& target, const std::string& mode);
  // Returns the counters of a fake store or upstream.
  json::object GetStats(const std::string& name);
  // Returns the sum of a counter over all running upstreams.
  int64_t SumCounters(const std::string& counter);
  // Returns the value of an instance's metric, given without its prefix, or 0
  // when the instance does not have it.
  double MetricValue(const std::string& instance, const std::string& name);
  // Returns the IP:port of a named port.
  std::string Address(const std::string& port_name) const;

  ProcessGroup& processes() { return processes_; }
  HttpClient* client() { return &client_; }
  const std::vector<std::string>& instances() const { return instances_; }
  const std::vector<std::string>& upstreams() const { return upstreams_; }

 private:
  void StartRelay(const std::string& name, const std::string& target);
  std::string BootFileText(const std::string& name, const std::string& zone,
                           const std::string& store);
  std::string PortOf(const std::string& name) const;

  const ProgramPaths paths_;
  MachineLimits machine_limits_;
  std::map<std::string, uint16_t> ports_;
  std::vector<std::string> instances_;
  std::vector<std::string> upstreams_;
  std::atomic<int64_t> next_request_id_ = 1;
  HttpClient client_;
  ProcessGroup processes_;
};

}  // namespace bilberrypitch::lab
