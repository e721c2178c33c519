// This instance's view of which models and adapters each engine holds.
//
// The view is built from the engines' store entries, from notifications of
// their owners and from responses of the engines, so it may be out of date. It
// only guides the choice of an upstream; an engine rejects a request for an
// adapter that it does not hold.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "serving/upstream_entry.h"

namespace bilberrypitch {

class ResidencyView {
 public:
  // The engine holds `target` in this version.
  void OnReady(const UpstreamId& engine, const ModelRef& target,
               int64_t version);
  // The engine does not hold `target`. A base model that the engine's store
  // entry names is assumed to be back after some time.
  void OnRemoved(const UpstreamId& engine, const ModelRef& target, Millis now);
  // The engine's store entry names exactly these base models.
  void SetBaseModels(const UpstreamId& engine,
                     const std::vector<LoadedModel>& models);
  // The engine restarted, drains or was removed: forgets what it holds.
  void OnEngineReset(const UpstreamId& engine);

  // Whether the engine is assumed to hold `target` in this version or a newer
  // one.
  bool Holds(const UpstreamId& engine, const ModelRef& target,
             int64_t minimum_version, Millis now) const;
  bool HoldsBaseModel(const UpstreamId& engine, const ModelId& model,
                      Millis now) const;

 private:
  struct EngineContents {
    std::map<ModelRef, int64_t> adapters;  // With their versions.
    std::map<ModelId, Millis> models;  // With the time from which it is held.
  };
  std::map<UpstreamId, EngineContents> engines_;
};

}  // namespace bilberrypitch
