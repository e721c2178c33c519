// The serving configuration: routes, services, workspaces and limits, as
// decoded from the operator's record in the store.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// Determines whether a request may be run more than once.
enum class RequestKind : uint8_t {
  kIdempotent,     // May run any number of times.
  kNonIdempotent,  // May run at most once.
  kStream,         // Responds with events; runs at most once unless resumable.
};

// A service that takes part of a route's requests, in proportion to its weight.
struct WeightedService {
  ServiceId service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  std::vector<WeightedService> services;
  RequestKind kind = RequestKind::kNonIdempotent;
  bool resumable = false;      // A stream may continue at another upstream.
  bool requires_key = true;    // False: callers need no API key.
  uint32_t max_upstreams = 1;  // Most upstreams that may run a request.
  Millis timeout;              // Longest time until the response ends.
  // Target: the time within which callers expect the response, or the first
  // event of a stream.
  Millis latency_target;
  Millis event_gap_target;  // Longest time between two events; 0: none.
  int priority = 0;         // 0 is the highest.

  // Returns how long a caller waits for the first event of a stream, or between
  // two events, before it gives up. Zero for other kinds of requests, which are
  // limited by their deadline alone.
  Millis StreamEventTimeout() const {
    constexpr Millis kMinTimeout{2000};
    constexpr int64_t kLatencyTargetFactor = 4;
    constexpr int64_t kEventGapTargetFactor = 8;
    bool is_stream = kind == RequestKind::kStream;
    return is_stream
               ? std::max({kMinTimeout, latency_target * kLatencyTargetFactor,
                           event_gap_target * kEventGapTargetFactor})
               : Millis(0);
  }
  bool IsIdempotent() const { return kind == RequestKind::kIdempotent; }
};

// A base model that the engines of a service can load.
struct ModelSpec {
  ModelId id;
  double weights_mb = 0;
  Millis load_time;  // From the model store.
  Millis load_time_from_disk;
  double adapter_mb = 0;  // Size of one adapter of this model.
};

// Capacity of each engine of a service.
struct EngineProfile {
  uint32_t batch_slots = 1;
  // KV cache capacity, for running requests and cached prompts.
  int64_t kv_cache_tokens = 0;
  double weights_memory_mb = 0;  // Memory for base models and adapters.
  uint32_t adapter_slots = 0;
  // Loads of base models from the model store, over all engines.
  double loads_per_second = 0;
  std::vector<ModelSpec> models;
};

struct Service {
  ServiceId id;
  std::optional<EngineProfile> engine;  // None: a service without models.
  // Its upstreams are cold for so long after a start during traffic, and handle
  // so many requests a second then; 0: they are never cold.
  Millis cold_time;
  double cold_per_s = 0;
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  // Added to the route's, with a weight.
  bool charges_tokens = false;  // False: each request costs 1.
  double default_cost = 1;      // Of a request without token counts.
  double rate_per_s = 0;        // 0: no limit.
  double burst = 0;
};

// Limits on the size of a request.
struct CallerLimits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 4 << 20;
};

struct ServingConfig {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;  // Empty: no keys are required.
  CallerLimits limits;
};

}  // namespace bilberrypitch
