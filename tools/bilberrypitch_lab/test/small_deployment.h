// The deployment of the process tests: three instances in two availability
// zones, some engines, the plain service "booking", and one workspace.
#pragma once

#include <string>

#include "deployment.h"

namespace bilberrypitch::lab {

struct SmallOptions {
  int engines = 2;  // "engine-1" and so on, zones a and b in turn.
  UpstreamShape engine;
  bool relay_service = false;
  bool relay_stores = false;  // One relay for each instance.
  double rate_per_s = 0;
  double burst = 0;
};

class SmallDeployment : public Deployment {
 public:
  static constexpr char kKey[] = "k-club-7d1f";

  explicit SmallDeployment(const SmallOptions& options = {});

  // A request of the workspace.
  CallOutcome Send(const std::string& instance, const std::string& path,
                   const std::string& body, int deadline_ms = 6000);
  CallOutcome Infer(const std::string& instance, const std::string& path,
                    const std::string& adapter, int tokens,
                    int deadline_ms = 6000);
  // True when the adapter answered through this instance.
  bool Warm(const std::string& instance, const std::string& adapter);
  // How often an upstream ran a body.
  int64_t Runs(const std::string& upstream, const std::string& body);
  // Next version of the configuration, with what `config` holds now.
  void WriteNextConfig();

  ConfigShape config;
};

// An answer or a stream that ended properly.
bool IsWhole(const CallOutcome& it);

}  // namespace bilberrypitch::lab
