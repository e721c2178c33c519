// What all requests of this instance share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "gateway/latency_histogram.h"
#include "serving/active_config.h"
#include "serving/crash_tracker.h"
#include "serving/freshness.h"
#include "serving/instance_settings.h"
#include "serving/residency_view.h"
#include "serving/retry_budget.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {

// Counted since the start; served with the metrics.
struct RequestCounters {
  uint64_t received = 0;
  uint64_t answered = 0;  // With an upstream's answer.
  uint64_t refused = 0;   // Not run.
  uint64_t failed = 0;    // May have run.
  uint64_t caller_left = 0;
  uint64_t rate_limited = 0;
  uint64_t retries = 0;         // Sends after the first.
  uint64_t adapter_waits = 0;   // Requests that waited for an adapter.
  uint64_t prefill_waits = 0;   // Questions about prompts asked again.
  uint64_t adapter_misses = 0;  // Engines that said an adapter isn't there.
};

// On the loop's thread only.
struct ServingState {
  explicit ServingState(const InstanceSettings& s,
                        UpstreamRegistry::Hooks hooks)
      : settings(s),
        freshness(s.bounds.strict_revocation ? s.bounds.key_revocation
                                             : Millis(0)),
        upstreams(std::move(hooks)) {}

  RetryBudget& RetryBudgetFor(const ServiceId& service) {
    RetryBudgetLimits bound{settings.bounds.retry_ratio,
                            settings.bounds.retry_extra,
                            settings.bounds.retry_window};
    return retry_budgets.try_emplace(service, bound).first->second;
  }

  const InstanceSettings settings;
  std::shared_ptr<const ActiveConfig> config;  // Null: none known yet.
  Freshness freshness;
  UpstreamRegistry upstreams;
  ResidencyView residency;
  std::map<ModelRef, int64_t> required_versions;
  std::map<ServiceId, RetryBudget> retry_budgets;
  CrashTracker crash_tracker;
  size_t instance_count = 1;  // Live ones, this one included.
  bool stopping = false;      // Answers end their connections.
  RequestCounters counters;
  // Of answered requests: to the first event, to the end, the longest pause of
  // a stream; and of those that waited for an adapter, the wait.
  LatencyHistogram first_event_latency;
  LatencyHistogram response_latency;
  LatencyHistogram max_event_gap;
  LatencyHistogram adapter_wait_time;
};

}  // namespace bilberrypitch
