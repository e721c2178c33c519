// The page of counters and histograms that operators' monitoring reads.
#pragma once

#include <cstdint>
#include <string>

namespace bilberrypitch {

struct ServingState;

// What other parts of the instance count.
struct InstanceMetrics {
  uint64_t orders = 0;
  uint64_t reports = 0;
  uint64_t upstream_connections = 0;
  uint64_t open_requests = 0;
  uint64_t peers = 0;
  int64_t knowledge_age_ms = 0;  // Of what is known of the store.
};

// In the common text format.
std::string FormatMetrics(const ServingState& state,
                          const InstanceMetrics& facts);

}  // namespace bilberrypitch
