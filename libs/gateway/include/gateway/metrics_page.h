// The metrics page: counters and histograms for the operators' monitoring.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "transport/body_budget.h"

namespace bilberrypitch {

struct ServingState;

// Values from other components of the instance.
struct InstanceMetrics {
  uint64_t orders = 0;
  uint64_t reports = 0;
  uint64_t upstream_connections = 0;
  uint64_t open_requests = 0;
  uint64_t peers = 0;
  // Of requests and unread responses, as BodyBudget counts them.
  uint64_t body_bytes_held = 0;
  // Of responses of upstreams while they are collected, and the calls that were
  // ended since these were too large together.
  uint64_t response_bytes_held = 0;
  uint64_t calls_ended_for_memory = 0;
  uint64_t caller_connections = 0;
  std::array<uint64_t, kEndCauseCount> connections_ended{};
  int64_t store_view_age_ms = 0;  // Age of the view of the store.
};

// Returns the metrics page in the Prometheus text format.
std::string FormatMetrics(const ServingState& state,
                          const InstanceMetrics& metrics);

}  // namespace bilberrypitch
