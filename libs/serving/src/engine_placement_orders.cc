// Chooses the next actions for an engine: orders, reports and notifications.
#include <algorithm>

#include "serving/engine_placement.h"

namespace bilberrypitch {
namespace {

// Load requests are renewed more often than this while requests wait.
constexpr Millis kLoadRequestTtl{450};

}  // namespace

void EnginePlacement::CompleteLoads(Millis now) {
  for (auto it = loading_.begin(); it != loading_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    Resident& resident = resident_[it->first];
    resident.version = std::max(resident.version, it->second.version);
    resident.assumed = {it->second.began_at, it->second.due, it->second.fetched,
                        it->second.extensions};
    RecordRecentlyHeld(it->first);
    it = loading_.erase(it);
  }
}

void EnginePlacement::NotifyReady(const ModelRef& target, Millis now,
                                  std::vector<PlacementAction>* actions) {
  auto request = load_requests_.find(target);
  if (request == load_requests_.end() ||
      !Holds(target, request->second.version)) {
    return;
  }
  Resident& resident = resident_[target];
  for (const MachineId& machine : request->second.machines) {
    resident.notified.insert(machine);
    // Its requests will arrive soon, so the adapter counts as used from now on.
    demand_[target].usage[machine].updated_at = now;
    PlacementAction notification;
    notification.kind = PlacementAction::Kind::kNotifyReady;
    notification.target = target;
    notification.version = resident.version;
    notification.machine = machine;
    actions->push_back(std::move(notification));
  }
  load_requests_.erase(request);
}

std::vector<PlacementAction> EnginePlacement::TakeActions(bool may_order,
                                                          Millis now) {
  std::vector<PlacementAction> actions;
  CompleteLoads(now);
  std::erase_if(load_requests_, [now](const auto& entry) {
    return now - entry.second.renewed_at > kLoadRequestTtl;
  });
  std::vector<ModelRef> requested;
  for (const auto& [target, request] : load_requests_) {
    requested.push_back(target);
  }
  for (const ModelRef& target : requested) {
    NotifyReady(target, now, &actions);
  }
  actions.insert(actions.end(), pending_notifications_.begin(),
                 pending_notifications_.end());
  pending_notifications_.clear();
  bool needs_report = !synced_ || loading_model_;
  if (needs_report && !report_outstanding_ && now >= report_not_before_) {
    report_outstanding_ = true;
    PlacementAction report;
    report.kind = PlacementAction::Kind::kFetchReport;
    actions.push_back(report);
    return actions;
  }
  if (!may_order || !synced_ || loading_model_ || order_ ||
      now < order_not_before_) {
    return actions;
  }
  if (std::optional<PlacementAction> order = NextOrder(now)) {
    order_ =
        OutstandingOrder{order->order_action, order->target, order->version};
    actions.push_back(std::move(*order));
  }
  return actions;
}

std::optional<PlacementAction> EnginePlacement::NextOrder(Millis now) {
  if (std::optional<PlacementAction> order = BaseModelOrder()) {
    return order;
  }
  return AdapterOrder(now);
}

std::optional<PlacementAction> EnginePlacement::BaseModelOrder() const {
  if (!models_.empty() || loading_model_ || profile_.models.empty()) {
    return std::nullopt;
  }
  // An engine without a model loads the one with the most load requests.
  const ModelSpec* best = nullptr;
  size_t most = 0;
  for (const ModelSpec& spec : profile_.models) {
    size_t requests = 0;
    for (const auto& [target, request] : load_requests_) {
      requests += target.model == spec.id ? 1 : 0;
    }
    bool fits = spec.weights_mb <= limits_.weights_memory_mb;
    if (fits && (best == nullptr || requests > most)) {
      best = &spec;
      most = requests;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return MakeOrder(OrderAction::kLoad, ModelRef{best->id, AdapterId()}, 0);
}

std::optional<PlacementAction> EnginePlacement::AdapterOrder(Millis now) {
  const LoadRequest* oldest = nullptr;
  const ModelRef* target = nullptr;
  for (const auto& [ref, request] : load_requests_) {
    bool can_load = models_.count(ref.model) > 0 && loading_.count(ref) == 0;
    if (can_load && (oldest == nullptr || request.since < oldest->since)) {
      oldest = &request;
      target = &ref;
    }
  }
  if (oldest == nullptr || loading_.size() >= limits_.max_concurrent_loads) {
    return std::nullopt;
  }
  if (resident_.count(*target) > 0 || Fits(*target)) {
    return MakeOrder(OrderAction::kLoad, *target, oldest->version);
  }
  if (std::optional<ModelRef> candidate = EvictionCandidate(now)) {
    return MakeOrder(OrderAction::kUnload, *candidate, 0);
  }
  return std::nullopt;
}

std::optional<ModelRef> EnginePlacement::EvictionCandidate(Millis now) const {
  std::optional<ModelRef> candidate;
  double lowest = 0;
  for (const auto& [ref, resident] : resident_) {
    if (load_requests_.count(ref) > 0 || loading_.count(ref) > 0 ||
        InUse(ref, now)) {
      continue;
    }
    double score = Score(ref, now);
    if (!candidate || score < lowest) {
      candidate = ref;
      lowest = score;
    }
  }
  return candidate;
}

PlacementAction EnginePlacement::MakeOrder(OrderAction order_action,
                                           const ModelRef& target,
                                           int64_t version) const {
  PlacementAction action;
  action.kind = PlacementAction::Kind::kSendOrder;
  action.order_action = order_action;
  action.target = target;
  action.version = version;
  action.expected_order_count = orders_accepted_;
  return action;
}

Millis EnginePlacement::NextWakeup(Millis now) const {
  Millis next;
  auto consider = [&next, now](Millis at) {
    Millis due = std::max(at, now + Millis(1));
    if (next == Millis(0) || due < next) {
      next = due;
    }
  };
  for (const auto& [ref, load] : loading_) {
    consider(load.due);
  }
  if ((!synced_ || loading_model_) && !report_outstanding_) {
    consider(report_not_before_);
  }
  if (!load_requests_.empty() && !order_ && synced_) {
    // An adapter may have become evictable, or an order may be due for a retry.
    consider(std::max(order_not_before_, now + Millis(25)));
  }
  return next;
}

}  // namespace bilberrypitch
