// Implements the view of which adapters and base models each engine holds.
#include "serving/residency_view.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// Two heartbeats of an engine: if it really lost the model, its store entry
// says so by then.
constexpr Millis kBaseModelRetryDelay{2400};

}  // namespace

void ResidencyView::OnReady(const UpstreamId& engine, const ModelRef& target,
                            int64_t version) {
  int64_t& held_version = engines_[engine].adapters[target];
  held_version = std::max(held_version, version);
  engines_[engine].models[target.model] = Millis(0);
}

void ResidencyView::OnRemoved(const UpstreamId& engine, const ModelRef& target,
                              Millis now) {
  auto contents = engines_.find(engine);
  if (contents == engines_.end()) {
    return;
  }
  if (target.is_adapter()) {
    contents->second.adapters.erase(target);
  } else {
    auto held = contents->second.models.find(target.model);
    if (held != contents->second.models.end()) {
      held->second = now + kBaseModelRetryDelay;
    }
  }
}

void ResidencyView::SetBaseModels(const UpstreamId& engine,
                                  const std::vector<LoadedModel>& models) {
  std::map<ModelId, Millis>& held = engines_[engine].models;
  held.clear();
  for (const LoadedModel& model : models) {
    held[model.model] = Millis(0);
  }
}

void ResidencyView::OnEngineReset(const UpstreamId& engine) {
  engines_.erase(engine);
}

bool ResidencyView::Holds(const UpstreamId& engine, const ModelRef& target,
                          int64_t minimum_version, Millis now) const {
  if (!target.is_adapter()) {
    return HoldsBaseModel(engine, target.model, now);
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
                                   const ModelId& model, Millis now) const {
  auto contents = engines_.find(engine);
  if (contents == engines_.end()) {
    return false;
  }
  auto held = contents->second.models.find(model);
  return held != contents->second.models.end() && now >= held->second;
}

}  // namespace bilberrypitch
