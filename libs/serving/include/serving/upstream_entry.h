// What the list of upstreams and an engine's report say.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// An adapter with its version; 0: not stated.
struct LoadedAdapter {
  AdapterId adapter;
  int64_t version = 0;
  auto operator<=>(const LoadedAdapter&) const = default;
};

// A base model on an engine.
struct LoadedModel {
  ModelId model;
  int64_t version = 0;
  std::vector<LoadedAdapter> adapters;
};

// An upstream as it registered itself.
struct UpstreamEntry {
  UpstreamId id;  // Of one start, mostly; see `started_ms`.
  ServiceId service;
  std::string address;  // IP:port.
  ZoneId zone;
  uint32_t slots = 1;
  bool draining = false;
  int64_t started_ms = 0;  // Unix time; another start has another one.
  std::vector<LoadedModel> models;
};

// An engine's answer about itself. Some hundred milliseconds old.
struct EngineReport {
  int64_t started_ms = 0;
  std::vector<LoadedModel> models;
  std::vector<ModelRef> loading;  // Adapters on their way to the engine.
  bool busy = false;              // A base model is being loaded or unloaded.
  int64_t orders_accepted = 0;    // Since its start.
  uint32_t running = 0;
  uint32_t waiting = 0;
};

}  // namespace bilberrypitch
