// What the owner of an engine does next: orders, reports and words to machines.
#include <algorithm>

#include "serving/engine_placement.h"

namespace bilberrypitch {
namespace {

// Requests that wait ask again more often than this.
constexpr Millis kWantLife{450};

}  // namespace

void EnginePlacement::FinishLoads(Millis now) {
  for (auto it = loading_.begin(); it != loading_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    Resident& resident = resident_[it->first];
    resident.version = std::max(resident.version, it->second.version);
    RememberHeld(it->first);
    it = loading_.erase(it);
  }
}

void EnginePlacement::TellReady(const ModelRef& target, Millis now,
                                std::vector<PlacementAction>* actions) {
  auto it = wanted_.find(target);
  if (it == wanted_.end() || !Holds(target, it->second.version)) {
    return;
  }
  Resident& resident = resident_[target];
  for (const MachineId& machine : it->second.machines) {
    resident.told.insert(machine);
    // Its requests are on their way from now on.
    demand_[target].uses[machine].at = now;
    PlacementAction tell;
    tell.kind = PlacementAction::Kind::kNotifyReady;
    tell.target = target;
    tell.version = resident.version;
    tell.machine = machine;
    actions->push_back(std::move(tell));
  }
  wanted_.erase(it);
}

std::vector<PlacementAction> EnginePlacement::TakeActions(bool may_order,
                                                          Millis now) {
  std::vector<PlacementAction> actions;
  FinishLoads(now);
  std::erase_if(wanted_, [now](const auto& it) {
    return now - it.second.asked > kWantLife;
  });
  std::vector<ModelRef> held;
  for (const auto& [target, it] : wanted_) {
    held.push_back(target);
  }
  for (const ModelRef& target : held) {
    TellReady(target, now, &actions);
  }
  actions.insert(actions.end(), pending_tells_.begin(), pending_tells_.end());
  pending_tells_.clear();
  bool unsure = !synced_ || model_coming_;
  if (unsure && !report_outstanding_ && now >= report_not_before_) {
    report_outstanding_ = true;
    PlacementAction report;
    report.kind = PlacementAction::Kind::kFetchReport;
    actions.push_back(report);
    return actions;
  }
  if (!may_order || !synced_ || model_coming_ || order_ ||
      now < order_not_before_) {
    return actions;
  }
  if (std::optional<PlacementAction> order = NextOrder(now)) {
    order_ = Outstanding{order->order_action, order->target, order->version};
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
  if (!models_.empty() || model_coming_ || spec_.models.empty()) {
    return std::nullopt;
  }
  // An empty engine takes the model that is wanted most here.
  const ModelSpec* best = nullptr;
  size_t most = 0;
  for (const ModelSpec& spec : spec_.models) {
    size_t wanting = 0;
    for (const auto& [target, it] : wanted_) {
      wanting += target.model == spec.id ? 1 : 0;
    }
    bool fits = spec.weights_mb <= limits_.weights_mb;
    if (fits && (best == nullptr || wanting > most)) {
      best = &spec;
      most = wanting;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Order(OrderAction::kLoad, ModelRef{best->id, AdapterId()}, 0);
}

std::optional<PlacementAction> EnginePlacement::AdapterOrder(Millis now) {
  const Wanted* oldest = nullptr;
  const ModelRef* target = nullptr;
  for (const auto& [ref, it] : wanted_) {
    bool can_load = models_.count(ref.model) > 0 && loading_.count(ref) == 0;
    if (can_load && (oldest == nullptr || it.since < oldest->since)) {
      oldest = &it;
      target = &ref;
    }
  }
  if (oldest == nullptr || loading_.size() >= limits_.max_concurrent_loads) {
    return std::nullopt;
  }
  if (resident_.count(*target) > 0 || Fits(*target)) {
    return Order(OrderAction::kLoad, *target, oldest->version);
  }
  if (std::optional<ModelRef> victim = Victim(now)) {
    return Order(OrderAction::kUnload, *victim, 0);
  }
  return std::nullopt;
}

std::optional<ModelRef> EnginePlacement::Victim(Millis now) const {
  std::optional<ModelRef> victim;
  double lowest = 0;
  for (const auto& [ref, it] : resident_) {
    if (wanted_.count(ref) > 0 || loading_.count(ref) > 0 || InUse(ref, now)) {
      continue;
    }
    double score = Score(ref, now);
    if (!victim || score < lowest) {
      victim = ref;
      lowest = score;
    }
  }
  return victim;
}

PlacementAction EnginePlacement::Order(OrderAction verb, const ModelRef& target,
                                       int64_t version) const {
  PlacementAction action;
  action.kind = PlacementAction::Kind::kSendOrder;
  action.order_action = verb;
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
  for (const auto& [ref, it] : loading_) {
    consider(it.due);
  }
  if ((!synced_ || model_coming_) && !report_outstanding_) {
    consider(report_not_before_);
  }
  if (!wanted_.empty() && !order_ && synced_) {
    // A victim may have become idle, or an order may be given again.
    consider(std::max(order_not_before_, now + Millis(25)));
  }
  return next;
}

}  // namespace bilberrypitch
