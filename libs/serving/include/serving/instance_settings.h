// Settings that an instance is given at start: its addresses, machine and zone,
// the platform's store, and the bounds that the deployment guarantees.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// Guaranteed bounds on times and rates. A zero time means that no bound is
// stated.
struct ClusterBounds {
  // A draining upstream gets no new request after this.
  Millis drain{2000};
  Millis config_apply{2000};  // A new configuration is in force after this.
  // No request is sent to an evacuated zone after this.
  Millis evacuation{5000};
  bool strict_revocation = true;  // Enforce `key_revocation`.
  Millis key_revocation{5000};    // A revoked key stops working after this.
  Millis shutdown_grace{8000};    // From SIGTERM to SIGKILL.
  // Retries to one service over all instances, in any window of the length
  // `retry_window`: at most `retry_ratio` for each request, plus `retry_extra`.
  double retry_ratio = 0.2;
  double retry_extra = 50;
  Millis retry_window{10000};
  // In any window of the length `rate_window`, a workspace may exceed its rate
  // limit by the part `rate_excess_ratio` of the limit. If it is charged by
  // tokens, `rate_extra_tokens` are added to that.
  double rate_excess_ratio = 0.1;
  double rate_extra_tokens = 0;
  Millis rate_window{8000};
  // No two machines send orders to one engine within this time.
  Millis takeover_delay{3000};
  bool engines_check_fencing_tokens = true;
  Millis adapter_version_rollout{5000};  // A new version is in use by then.
  // In any window of the length `load_window_s`, loads of base models from the
  // model store stay within the configured rate times `load_rate_factor`.
  double load_window_s = 5;
  double load_rate_factor = 1.1;
  // In no second does a cold upstream get more than the rate that it handles
  // times `cold_factor`, plus `cold_extra`.
  double cold_factor = 1.5;
  double cold_extra = 5;
};

struct InstanceSettings {
  MachineId machine;
  std::string ip;
  ZoneId zone;
  std::vector<ZoneId> zones;  // All zones of the deployment.
  // All addresses are IP:port.
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;  // For datagrams and state transfer.
  std::string store_address;
  double store_writes_per_s = 0;
  double store_reads_per_s = 0;
  Millis min_lease_ttl{1000};
  int64_t memory_mb = 0;
  int64_t max_descriptors = 0;
  double cpu_share = 1;
  bool bootstrap = false;  // First start of the whole system.
  Millis upstream_heartbeat{1200};
  ClusterBounds bounds;
};

}  // namespace bilberrypitch
