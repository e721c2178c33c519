// What one instance is told at its start: where it listens, its machine, the
// platform's store, and the bounds that the deployment promises.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// Promised times and rates. A zero time means that no bound is stated.
struct ClusterBounds {
  Millis drain{2000};         // A leaving upstream gets nothing new after this.
  Millis config_apply{2000};  // A configuration is in force after this.
  bool strict_revocation = true;
  Millis key_revocation{5000};  // A withdrawn key stops working after this.
  Millis shutdown_grace{8000};  // From SIGTERM to SIGKILL.
  double retry_ratio = 0.2;     // Repeated sends for each request to a service,
  double retry_extra = 50;      // and beside, over all instances,
  Millis retry_window{10000};   // in any such window.
  double rate_excess_ratio =
      0.1;  // A workspace may exceed its limit by this part
  double rate_extra_tokens = 0;  // and this many tokens in a window:
  Millis rate_window{8000};
  Millis takeover_delay{3000};  // No two machines order one engine within this.
  bool engines_check_fencing_tokens = true;
  Millis adapter_version_rollout{5000};  // A new version is in use after this.
  double load_window_s = 5;       // Loads of base models from the store keep to
  double load_rate_factor = 1.1;  // the rate times this in such a window.
};

struct InstanceSettings {
  MachineId machine;
  std::string ip;
  ZoneId zone;
  std::vector<ZoneId> zones;   // All of the deployment.
  std::string caller_address;  // Each IP:port.
  std::string ready_address;
  std::string peer_address;  // Datagrams and state for other instances.
  std::string store_address;
  double store_writes_per_s = 0;
  double store_reads_per_s = 0;
  Millis min_lease_ttl{1000};
  int64_t memory_mb = 0;
  int64_t max_descriptors = 0;
  double cpu_share = 1;
  bool bootstrap = false;  // The whole system starts for the first time.
  Millis upstream_heartbeat{1200};
  ClusterBounds bounds;
};

}  // namespace bilberrypitch
