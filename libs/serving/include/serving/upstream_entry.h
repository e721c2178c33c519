// What upstreams state about themselves: their registration in the store, and
// the reports of engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// An adapter on an engine, with its version (0: not stated).
struct LoadedAdapter {
  AdapterId adapter;
  int64_t version = 0;
  auto operator<=>(const LoadedAdapter&) const = default;
};

// A base model on an engine, with its adapters.
struct LoadedModel {
  ModelId model;
  int64_t version = 0;
  std::vector<LoadedAdapter> adapters;
};

// The registration of an upstream.
struct UpstreamEntry {
  UpstreamId id;  // Usually identifies one start; see `started_ms`.
  ServiceId service;
  std::string address;  // IP:port.
  ZoneId zone;
  uint32_t slots = 1;  // Requests that it can run at once.
  bool draining = false;
  int64_t started_ms = 0;  // Unix time of its start; differs for each start.
  SoftwareVersion software;
  Millis cold_left;  // For which it is cold, as of when it wrote the entry.
  std::vector<LoadedModel> models;
};

// Whether two entries differ only in the adapters that they list and in the
// time for which the upstream is cold, or not at all. Adapters are known from
// the owner of the engine; ColdPeriod tells what is new of the time.
bool EqualButForAdapters(const UpstreamEntry& first,
                         const UpstreamEntry& second);

// An engine's state as it reports it. The state is some hundred milliseconds
// old.
struct EngineReport {
  int64_t started_ms = 0;
  std::vector<LoadedModel> models;
  std::vector<ModelRef> loading;  // Adapters that are being loaded.
  bool busy = false;              // A base model is being loaded or unloaded.
  int64_t orders_accepted = 0;    // Since the start of the engine.
  uint32_t running = 0;
  uint32_t waiting = 0;
};

}  // namespace bilberrypitch
