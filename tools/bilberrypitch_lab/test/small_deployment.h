// The deployment of the process tests: three instances in two availability
// zones, some engines, the plain service "booking", and one workspace.
#pragma once

#include <string>

#include "deployment.h"

namespace bilberrypitch::lab {

struct SmallDeploymentOptions {
  int engines = 2;  // Named "engine-1" and so on, in zones a and b by turns.
  UpstreamOptions engine_options;
  bool relay_plain_service = false;
  bool relay_store_connections = false;  // One relay per instance.
  double rate_per_s = 0;
  double burst = 0;
  int64_t body_bytes = 1 << 20;  // Limit for bodies of callers.
  MachineLimits machine_limits;
};

// A deployment that is ready when the constructor returns. Its workspace is
// "club".
class SmallDeployment : public Deployment {
 public:
  static constexpr char kKey[] = "k-club-7d1f";

  explicit SmallDeployment(const SmallDeploymentOptions& options = {});

  // Sends a request with the workspace's key.
  CallOutcome SendWithKey(const std::string& instance, const std::string& path,
                          const std::string& body, int timeout_ms = 6000);
  // Sends a request with the workspace's key to an adapter of the base model.
  CallOutcome Infer(const std::string& instance, const std::string& path,
                    const std::string& adapter, int tokens,
                    int timeout_ms = 6000);
  // Returns true once the adapter responds through this instance; false after
  // 20 s.
  bool WaitUntilServed(const std::string& instance, const std::string& adapter);
  // Returns how often an upstream ran a request with this body.
  int64_t RunCount(const std::string& upstream, const std::string& body);
  // Writes `config` with the next version number.
  void WriteNextConfig();

  OperatorConfig config;
};

// Returns true for a complete response or stream with status 200.
bool IsComplete(const CallOutcome& outcome);

}  // namespace bilberrypitch::lab
