// The configuration in force: routes, services, workspaces and limits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// What may be done again with a request.
enum class RequestKind : uint8_t {
  kIdempotent,     // May run any number of times.
  kNonIdempotent,  // May run at most once.
  kStream,         // Answers with events; runs once unless it may be resumed.
};

// A part of a route's requests.
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
  bool resumable = false;      // A stream may go on at another upstream.
  bool requires_key = true;    // False: open to callers without a key.
  uint32_t max_upstreams = 1;  // Upstreams on which one attempt may run.
  Millis timeout;              // Longest time until the answer ends.
  Millis latency_target;    // Time to the (first event of the) answer for full
                            // credit.
  Millis event_gap_target;  // Longest pause between two events; 0: none stated.
  int priority = 0;         // 0 is the most urgent.

  // How long a caller waits for the first event of a stream, and between two,
  // before it gives up; zero for other kinds: their time is the deadline.
  Millis StreamEventTimeout() const {
    constexpr Millis kLeast{2000};
    constexpr int64_t kGoals = 4;
    constexpr int64_t kPauses = 8;
    bool stream = kind == RequestKind::kStream;
    return stream ? std::max({kLeast, latency_target * kGoals,
                              event_gap_target * kPauses})
                  : Millis(0);
  }
  bool IsIdempotent() const { return kind == RequestKind::kIdempotent; }
};

struct ModelSpec {
  ModelId id;
  double weights_mb = 0;
  Millis load_time;
  Millis load_time_from_disk;
  double adapter_mb = 0;
};

// What a service's engines are like.
struct EngineProfile {
  uint32_t batch_slots = 1;
  int64_t kv_cache_tokens =
      0;  // Memory for running requests and cached prompts.
  double weights_memory_mb = 0;  // Memory for base models and adapters.
  uint32_t adapter_slots = 0;
  double loads_per_second = 0;  // Base models from the store, all engines.
  std::vector<ModelSpec> models;
};

struct Service {
  ServiceId id;
  std::optional<EngineProfile> engine;  // None: a plain service.
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  // Goes before the route's.
  bool charges_tokens = false;  // Else each request costs 1.
  double default_cost = 1;      // Of a request that states no tokens.
  double rate_per_s = 0;        // 0: no limit.
  double burst = 0;
};

struct CallerLimits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 4 << 20;
};

struct ServingConfig {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;  // Empty: keys are not asked for.
  CallerLimits limits;
};

}  // namespace bilberrypitch
