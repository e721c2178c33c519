// Implements the view of which adapters and base models each engine holds.
#include "serving/residency_view.h"

#include <algorithm>

namespace bilberrypitch {

void ResidencyView::OnReady(const UpstreamId& engine, const ModelRef& target,
                            int64_t version) {
  int64_t& held_version = engines_[engine].adapters[target];
  held_version = std::max(held_version, version);
  engines_[engine].models.insert(target.model);
}

void ResidencyView::OnRemoved(const UpstreamId& engine,
                              const ModelRef& target) {
  auto contents = engines_.find(engine);
  if (contents == engines_.end()) {
    return;
  }
  if (target.is_adapter()) {
    contents->second.adapters.erase(target);
  } else {
    contents->second.models.erase(target.model);
  }
}

void ResidencyView::SetBaseModels(const UpstreamId& engine,
                                  const std::vector<LoadedModel>& models) {
  std::set<ModelId>& held = engines_[engine].models;
  held.clear();
  for (const LoadedModel& model : models) {
    held.insert(model.model);
  }
}

void ResidencyView::OnEngineReset(const UpstreamId& engine) {
  engines_.erase(engine);
}

bool ResidencyView::Holds(const UpstreamId& engine, const ModelRef& target,
                          int64_t minimum_version) const {
  if (!target.is_adapter()) {
    return HoldsBaseModel(engine, target.model);
  }
  auto contents = engines_.find(engine);
  if (contents == engines_.end()) {
    return false;
  }
  auto held = contents->second.adapters.find(target);
  return held != contents->second.adapters.end() &&
         held->second >= minimum_version;
}

bool ResidencyView::HoldsBaseModel(const UpstreamId& engine,
                                   const ModelId& model) const {
  auto it = engines_.find(engine);
  return it != engines_.end() && it->second.models.count(model) > 0;
}

}  // namespace bilberrypitch
