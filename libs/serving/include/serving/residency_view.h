// What this instance believes engines hold: from owners' word, from answers and
// from engines that said otherwise.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "serving/upstream_entry.h"

namespace bilberrypitch {

class ResidencyView {
 public:
  void OnReady(const UpstreamId& engine, const ModelRef& target,
               int64_t version);
  void OnRemoved(const UpstreamId& engine, const ModelRef& target);
  // The engine's entry lists these base models and no others.
  void SetBaseModels(const UpstreamId& engine,
                     const std::vector<LoadedModel>& models);
  void OnEngineReset(const UpstreamId& engine);

  // Whether the engine is believed to hold it in that version or a later one.
  bool Holds(const UpstreamId& engine, const ModelRef& target,
             int64_t minimum_version) const;
  bool HoldsBaseModel(const UpstreamId& engine, const ModelId& model) const;

 private:
  struct Held {
    std::map<ModelRef, int64_t> adapters;  // With versions.
    std::set<ModelId> models;
  };
  std::map<UpstreamId, Held> engines_;
};

}  // namespace bilberrypitch
