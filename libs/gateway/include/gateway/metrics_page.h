// The metrics page: counters and histograms for the operators' monitoring.
#pragma once

#include <cstdint>
#include <string>

namespace bilberrypitch {

struct ServingState;

// Values from other components of the instance.
struct InstanceMetrics {
  uint64_t orders = 0;
  uint64_t reports = 0;
  uint64_t upstream_connections = 0;
  uint64_t open_requests = 0;
  uint64_t peers = 0;
  int64_t store_view_age_ms = 0;  // Age of the view of the store.
};

// Returns the metrics page in the Prometheus text format.
std::string FormatMetrics(const ServingState& state,
                          const InstanceMetrics& metrics);

}  // namespace bilberrypitch
