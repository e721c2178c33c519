// State shared by all requests of an instance.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "gateway/latency_histogram.h"
#include "serving/active_config.h"
#include "serving/crash_tracker.h"
#include "serving/freshness.h"
#include "serving/instance_settings.h"
#include "serving/part_crash_tracker.h"
#include "serving/permit_wait_estimate.h"
#include "serving/residency_view.h"
#include "serving/response_fault.h"
#include "serving/retry_budget.h"
#include "serving/shutdown_schedule.h"
#include "serving/upstream_registry.h"
#include "serving/zone_evacuations.h"

namespace bilberrypitch {

// Counters since the start of the process, exported as metrics.
struct RequestCounters {
  uint64_t received = 0;
  uint64_t answered = 0;  // With an upstream's response.
  uint64_t refused = 0;   // Rejected: not run.
  uint64_t failed = 0;    // Failed after an attempt that may have run.
  uint64_t caller_left = 0;
  uint64_t rate_limited = 0;
  uint64_t retries = 0;         // Attempts after the first one.
  uint64_t adapter_waits = 0;   // Requests that waited for an adapter.
  uint64_t prefill_waits = 0;   // Prefill requests that were renewed.
  uint64_t adapter_misses = 0;  // Attempts at engines without the adapter.
  uint64_t relayed = 0;         // To other instances.
  uint64_t refused_without_path = 0;  // To upstreams, or to such instances.
  uint64_t refused_all_full = 0;      // All upstreams rejected it as full.
  uint64_t refused_evacuated = 0;     // All upstreams in evacuated zones.
  uint64_t refused_all_leave = 0;     // All upstreams leave.
  // Whether the route or key exists was not known.
  uint64_t refused_undecided = 0;
  uint64_t refused_too_large = 0;  // No engine could hold the prompt.
  uint64_t take_ups_refused = 0;   // Of streams whose version is not there.
  uint64_t part_quarantined = 0;   // Ended for a quarantined prompt part.
  // Responses of upstreams that were not passed on, by the fault.
  std::array<uint64_t, kResponseFaultCount> response_faults{};
};

// Must be used on the event loop's thread only.
struct ServingState {
  explicit ServingState(const InstanceSettings& instance_settings,
                        UpstreamRegistry::Hooks hooks)
      : settings(instance_settings),
        shutdown(instance_settings.bounds.shutdown_grace),
        freshness(instance_settings.bounds.strict_revocation
                      ? instance_settings.bounds.key_revocation
                      : Millis(0),
                  instance_settings.bounds.config_apply),
        upstreams(std::move(hooks), &evacuations) {}

  RetryBudget& RetryBudgetFor(const ServiceId& service) {
    RetryBudgetLimits limits{settings.bounds.retry_ratio,
                             settings.bounds.retry_extra,
                             settings.bounds.retry_window};
    return retry_budgets.try_emplace(service, limits).first->second;
  }

  const InstanceSettings settings;
  ShutdownSchedule shutdown;
  std::shared_ptr<const ActiveConfig> config;  // Null: none received yet.
  Freshness freshness;
  ZoneEvacuations evacuations;
  UpstreamRegistry upstreams;
  ResidencyView residency;
  std::map<ModelRef, int64_t> required_versions;
  std::map<ServiceId, RetryBudget> retry_budgets;
  // Of upstreams with a rate limit.
  std::map<ServiceId, PermitWaitEstimate> permit_waits;
  CrashTracker crash_tracker;
  PartCrashTracker part_crash_tracker;
  size_t instance_count = 1;  // Running instances, this one included.
  bool stopping = false;      // Responses close their connections.
  RequestCounters counters;
  // Latencies of answered requests: from arrival to the first event and to the
  // end of the response, the longest time between two events of a stream, and
  // the wait of those requests that waited for an adapter.
  LatencyHistogram first_event_latency;
  LatencyHistogram response_latency;
  LatencyHistogram max_event_gap;
  LatencyHistogram adapter_wait_time;
};

}  // namespace bilberrypitch
