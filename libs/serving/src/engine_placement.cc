// Base models and adapters of one engine: what is known of them. What is done
// next is in engine_placement_orders.cc.
#include "serving/engine_placement.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

constexpr Millis kColdLoad{255};
constexpr Millis kWarmLoad{30};
constexpr Millis kReportAgain{250};
// A report may be older than this; one read sooner shows what was before.
constexpr Millis kReportLag{300};
constexpr Millis kOrderAgain{60};
constexpr Millis kLongestLeaving{3000};
// An engine that waits for the runs of an adapter is avoided for so long.
constexpr Millis kBlockedFor{250};
constexpr Millis kModelCheck{400};
// A machine's word that an adapter is in use holds for this long.
constexpr Millis kUseLife{4000};
// A machine that asked will send its requests within this time.
constexpr Millis kGrace{120};
constexpr double kDemandSeconds = 8.0;  // Decay of the demand.
// From so many adapters on those with less demand than this are forgotten.
constexpr size_t kMostDemand = 512;
constexpr double kLeastScore = 0.02;
constexpr size_t kHeldRemembered = 30;

}  // namespace

void EnginePlacement::SetEngine(const EngineProfile& spec) {
  spec_ = spec;
  limits_.adapter_slots = spec.adapter_slots;
  limits_.weights_mb = spec.weights_memory_mb;
}

void EnginePlacement::Reset(Millis now) {
  synced_ = false;
  order_.reset();
  leaving_.reset();
  report_outstanding_ = false;
  report_not_before_ = now;
  orders_accepted_ = 0;
  models_.clear();
  model_coming_.reset();
  resident_.clear();
  loading_.clear();
  held_.clear();
}

void EnginePlacement::Touch(const ModelRef& target, double weight, Millis now) {
  TrimDemand(now);
  Demand& it = demand_[target];
  it.score = Score(target, now) + weight;
  it.at = now;
}

// Adapters that nobody uses and nobody wanted lately are forgotten.
void EnginePlacement::TrimDemand(Millis now) {
  if (demand_.size() < trim_demand_at_) {
    return;
  }
  std::erase_if(demand_, [&](const auto& it) {
    return Score(it.first, now) < kLeastScore && !InUse(it.first, now) &&
           resident_.count(it.first) == 0 && wanted_.count(it.first) == 0;
  });
  trim_demand_at_ = std::max(kMostDemand, demand_.size() * 2);
}

double EnginePlacement::Score(const ModelRef& target, Millis now) const {
  auto it = demand_.find(target);
  if (it == demand_.end()) {
    return 0;
  }
  double seconds = std::max(0.0, (now - it->second.at).seconds());
  return it->second.score * std::exp(-seconds / kDemandSeconds);
}

bool EnginePlacement::InUse(const ModelRef& target, Millis now) const {
  auto it = demand_.find(target);
  if (it == demand_.end()) {
    return false;
  }
  for (const auto& [machine, use] : it->second.uses) {
    Millis age = now - use.at;
    if ((use.running > 0 && age < kUseLife) || age < kGrace) {
      return true;
    }
  }
  return false;
}

void EnginePlacement::OnLoadRequest(const MachineId& machine,
                                    const ModelRef& target, int64_t version,
                                    Millis now, bool insists) {
  Touch(target, 1, now);
  Use& use = demand_[target].uses[machine];
  use.at = now;
  if (Holds(target, version)) {
    resident_[target].told.insert(machine);
    PlacementAction tell;
    tell.kind = PlacementAction::Kind::kNotifyReady;
    tell.target = target;
    tell.version = resident_[target].version;
    tell.machine = machine;
    pending_tells_.push_back(std::move(tell));
    return;
  }
  bool waits = insists || wanted_.count(target) > 0;
  if (synced_ && !waits && !HasPlaceFor(target, now)) {
    TellLater(PlacementAction::Kind::kNotifyFull, target, machine);
    return;
  }
  if (loading_.count(target) > 0) {
    TellLater(PlacementAction::Kind::kNotifyLoading, target, machine);
  }
  auto [it, added] = wanted_.try_emplace(target);
  if (added) {
    it->second.since = now;
  }
  it->second.asked = now;
  it->second.version = std::max(it->second.version, version);
  it->second.machines.insert(machine);
}

void EnginePlacement::OnLoadRequestEnded(const MachineId& machine,
                                         const ModelRef& target, Millis now) {
  auto it = wanted_.find(target);
  if (it != wanted_.end()) {
    it->second.machines.erase(machine);
    if (it->second.machines.empty()) {
      wanted_.erase(it);
    }
  }
  auto demand = demand_.find(target);
  if (demand == demand_.end()) {
    return;
  }
  auto use = demand->second.uses.find(machine);
  if (use != demand->second.uses.end() && use->second.running == 0) {
    use->second.at = now - kGrace;
  }
}

// Whether a load could begin at once, or after those that are wanted already.
bool EnginePlacement::HasPlaceFor(const ModelRef& target, Millis now) const {
  if (resident_.count(target) > 0 || loading_.count(target) > 0) {
    return true;
  }
  bool blocked = leaving_ && now - leaving_since_ < kBlockedFor;
  if (models_.count(target.model) == 0 || blocked) {
    return false;
  }
  size_t taken = SlotsTaken();
  size_t queued = 0;
  for (const auto& [ref, it] : wanted_) {
    bool placed = resident_.count(ref) > 0 || loading_.count(ref) > 0;
    queued += placed ? 0 : 1;
  }
  size_t idle = 0;
  for (const auto& [ref, it] : resident_) {
    bool needed = wanted_.count(ref) > 0 || InUse(ref, now);
    idle += needed ? 0 : 1;
  }
  size_t free =
      limits_.adapter_slots > taken ? limits_.adapter_slots - taken : 0;
  return queued < free + idle;
}

size_t EnginePlacement::SlotsTaken() const {
  // One that replaces an older version takes a place of its own meanwhile.
  return resident_.size() + loading_.size();
}

bool EnginePlacement::Fits(const ModelRef& target) const {
  size_t taken = SlotsTaken();
  double needed_mb = 0;
  if (const ModelSpec* spec = SpecOf(target.model)) {
    needed_mb = spec->adapter_mb * static_cast<double>(taken + 1);
  }
  for (const auto& [model, version] : models_) {
    const ModelSpec* held = SpecOf(model);
    needed_mb += held != nullptr ? held->weights_mb : 0;
  }
  return taken < limits_.adapter_slots && needed_mb <= limits_.weights_mb;
}

void EnginePlacement::OnUsage(const MachineId& machine, const ModelRef& target,
                              uint32_t running, Millis now) {
  Demand& it = demand_[target];
  Use& use = it.uses[machine];
  if (running > use.running) {
    Touch(target, running - use.running, now);
  }
  use.running = running;
  use.at = running > 0 ? now : now - kGrace;
}

void EnginePlacement::OnAdapterMissing(const ModelRef& target, Millis now) {
  if (resident_.erase(target) > 0) {
    synced_ = false;
    report_not_before_ = std::max(report_not_before_, now);
  }
}

void EnginePlacement::OnRequiredVersion(const ModelRef& target, int64_t version,
                                        Millis now) {
  auto it = resident_.find(target);
  if (it != resident_.end() && it->second.version < version) {
    auto [wanted, added] = wanted_.try_emplace(target);
    if (added) {
      wanted->second.since = now;
    }
    wanted->second.asked = now;
    wanted->second.version = std::max(wanted->second.version, version);
    wanted->second.machines.insert(it->second.told.begin(),
                                   it->second.told.end());
  }
}

void EnginePlacement::OnMachineRemoved(const MachineId& machine) {
  for (auto& [target, it] : demand_) {
    it.uses.erase(machine);
  }
  for (auto& [target, it] : resident_) {
    it.told.erase(machine);
  }
  for (auto& [target, it] : wanted_) {
    it.machines.erase(machine);
  }
}

bool EnginePlacement::Holds(const ModelRef& target, int64_t version) const {
  auto it = resident_.find(target);
  return it != resident_.end() && it->second.version >= version;
}

void EnginePlacement::OnReport(bool ok, const EngineReport& report,
                               Millis now) {
  report_outstanding_ = false;
  report_not_before_ = now + kReportAgain;
  if (!ok) {
    return;
  }
  // A report is as of some hundred milliseconds ago: one from before the last
  // accepted order says nothing. Later on the engine's own count is right: an
  // order that changed nothing may not have been counted.
  bool lags = now - accepted_at_ < kReportLag * 2;
  if (report.orders_accepted < orders_accepted_ && lags) {
    return;
  }
  orders_accepted_ = report.orders_accepted;
  models_.clear();
  std::map<ModelRef, Resident> before;
  before.swap(resident_);
  for (const LoadedModel& model : report.models) {
    models_[model.model] = model.version;
    for (const LoadedAdapter& copy : model.adapters) {
      ModelRef ref{model.model, copy.adapter};
      Resident& it = resident_[ref];
      it.version = copy.version;
      it.told = std::move(before[ref].told);
      loading_.erase(ref);
      RememberHeld(ref);
    }
  }
  std::map<ModelRef, Loading> loading;
  for (const ModelRef& ref : report.loading) {
    auto it = loading_.find(ref);
    Loading added = it != loading_.end() ? it->second : Loading{};
    added.due = std::max(added.due, now + kOrderAgain);
    loading[ref] = added;
  }
  loading_ = std::move(loading);
  if (!report.busy && model_coming_ && models_.count(*model_coming_) > 0) {
    model_coming_.reset();
  }
  if (model_coming_ && !report.busy && now >= model_due_) {
    model_coming_.reset();  // It failed; order again.
  }
  synced_ = true;
}

void EnginePlacement::OnOrderOutcome(OrderOutcome outcome, Millis now) {
  if (!order_) {
    return;
  }
  Outstanding order = *order_;
  order_.reset();
  bool accepted = outcome == OrderOutcome::kStarted ||
                  outcome == OrderOutcome::kAlreadyDone;
  if (outcome == OrderOutcome::kConflict && leaving_ &&
      now - leaving_since_ < kLongestLeaving) {
    order_not_before_ = now + kOrderAgain;  // Its runs go on.
    return;
  }
  if (!accepted) {
    synced_ = false;
    leaving_.reset();
    order_not_before_ = now + kOrderAgain;
    report_not_before_ = std::max(report_not_before_, now + kReportLag);
    return;
  }
  leaving_.reset();
  accepted_at_ = now;
  if (!order.target.is_adapter()) {
    ++orders_accepted_;
    model_coming_ = order.target.model;
    const ModelSpec* spec = SpecOf(order.target.model);
    model_due_ =
        now + (spec != nullptr ? spec->load_time : kModelCheck) + kModelCheck;
    synced_ = false;
    report_not_before_ = now + kModelCheck;
    return;
  }
  if (order.verb == OrderAction::kUnload) {
    ++orders_accepted_;
    ApplyUnload(order.target);
    if (outcome == OrderOutcome::kStarted) {
      leaving_ = order.target;
      leaving_since_ = now;
      order_not_before_ = now + kOrderAgain;
    }
    return;
  }
  if (outcome == OrderOutcome::kAlreadyDone) {
    resident_[order.target].version =
        std::max(resident_[order.target].version, order.version);
    loading_.erase(order.target);
    return;
  }
  ++orders_accepted_;
  loading_[order.target] = {order.version, now + LoadEstimate(order.target)};
  auto wanted = wanted_.find(order.target);
  if (wanted != wanted_.end()) {
    for (const MachineId& machine : wanted->second.machines) {
      TellLater(PlacementAction::Kind::kNotifyLoading, order.target, machine);
    }
  }
}

void EnginePlacement::TellLater(PlacementAction::Kind kind,
                                const ModelRef& target,
                                const MachineId& machine) {
  PlacementAction tell;
  tell.kind = kind;
  tell.target = target;
  tell.machine = machine;
  pending_tells_.push_back(std::move(tell));
}

void EnginePlacement::ApplyUnload(const ModelRef& target) {
  auto it = resident_.find(target);
  if (it == resident_.end()) {
    return;
  }
  for (const MachineId& machine : it->second.told) {
    TellLater(PlacementAction::Kind::kNotifyEvicted, target, machine);
  }
  RememberHeld(target);
  resident_.erase(it);
}

void EnginePlacement::RememberHeld(const ModelRef& target) {
  std::erase(held_, target);
  held_.push_back(target);
  if (held_.size() > kHeldRemembered) {
    held_.erase(held_.begin());
  }
}

Millis EnginePlacement::LoadEstimate(const ModelRef& target) const {
  bool held = std::find(held_.begin(), held_.end(), target) != held_.end();
  return held ? kWarmLoad : kColdLoad;
}

const ModelSpec* EnginePlacement::SpecOf(const ModelId& model) const {
  for (const ModelSpec& it : spec_.models) {
    if (it.id == model) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace bilberrypitch
