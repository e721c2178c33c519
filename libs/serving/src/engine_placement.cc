// State of one engine: its models, adapters and their demand. The choice of the
// next actions is in engine_placement_orders.cc.
#include "serving/engine_placement.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

// Expected load time of an adapter that the engine held recently.
constexpr Millis kWarmLoadTime{30};
// A request that is rejected within this time after the expected end of a load
// arrived too early; after it, the engine has lost the adapter.
constexpr Millis kMaxLoadDelay{600};
constexpr Millis kLoadRecheckDelay{20};
// After as many early requests the engine is asked what it holds: it may never
// have accepted the order.
constexpr int kMaxLoadExtensions = 3;
constexpr Millis kReportInterval{250};
// The state in a report may be older than this. A report that is fetched sooner
// after an order still shows the state before that order.
constexpr Millis kReportLag{300};
constexpr Millis kOrderRetryDelay{60};
// While an unload waits for running requests, conflicting orders are retried
// for this long before the state is read again.
constexpr Millis kMaxUnloadWait{3000};
// During the first part of that wait, no slot is promised to new load requests.
constexpr Millis kUnloadBlocksFor{250};
constexpr Millis kModelLoadMargin{400};
// A machine's report that it uses an adapter is valid for this long.
constexpr Millis kUsageTtl{4000};
// A machine sends its requests, or asks for their prefill again, within this
// time after its load request or the notification that the adapter is ready.
// Until then, the adapter counts as used.
constexpr Millis kRequestGrace{300};
constexpr double kDemandDecaySeconds = 8.0;  // Time constant.
// From this number of adapters on, those with a lower score than `kMinScore`
// are no longer tracked.
constexpr size_t kMinDemandTrimSize = 512;
constexpr double kMinScore = 0.02;
constexpr size_t kMaxRecentlyHeld = 30;

}  // namespace

void EnginePlacement::SetEngine(const EngineProfile& profile) {
  profile_ = profile;
  limits_.adapter_slots = profile.adapter_slots;
  limits_.weights_memory_mb = profile.weights_memory_mb;
}

void EnginePlacement::Reset(Millis now) {
  synced_ = false;
  order_.reset();
  unloading_.reset();
  report_outstanding_ = false;
  report_not_before_ = now;
  orders_accepted_ = 0;
  reported_start_ms_ = 0;
  reported_count_ = 0;
  models_.clear();
  loading_model_.reset();
  resident_.clear();
  loading_.clear();
  recently_held_.clear();
}

void EnginePlacement::AddDemand(const ModelRef& target, double weight,
                                Millis now) {
  TrimDemand(now);
  Demand& demand = demand_[target];
  demand.score = Score(target, now) + weight;
  demand.scored_at = now;
}

void EnginePlacement::TrimDemand(Millis now) {
  if (demand_.size() < demand_trim_size_) {
    return;
  }
  std::erase_if(demand_, [&](const auto& entry) {
    return Score(entry.first, now) < kMinScore && !InUse(entry.first, now) &&
           resident_.count(entry.first) == 0 &&
           load_requests_.count(entry.first) == 0;
  });
  demand_trim_size_ = std::max(kMinDemandTrimSize, demand_.size() * 2);
}

double EnginePlacement::Score(const ModelRef& target, Millis now) const {
  auto demand = demand_.find(target);
  if (demand == demand_.end()) {
    return 0;
  }
  double seconds = std::max(0.0, (now - demand->second.scored_at).seconds());
  return demand->second.score * std::exp(-seconds / kDemandDecaySeconds);
}

bool EnginePlacement::InUse(const ModelRef& target, Millis now) const {
  auto demand = demand_.find(target);
  if (demand == demand_.end()) {
    return false;
  }
  for (const auto& [machine, usage] : demand->second.usage) {
    Millis age = now - usage.updated_at;
    if ((usage.running > 0 && age < kUsageTtl) || age < kRequestGrace) {
      return true;
    }
  }
  return false;
}

void EnginePlacement::OnLoadRequest(const MachineId& machine,
                                    const ModelRef& target, int64_t version,
                                    Millis now, bool reserve_slot) {
  AddDemand(target, 1, now);
  Usage& usage = demand_[target].usage[machine];
  usage.updated_at = now;
  if (Holds(target, version)) {
    resident_[target].notified.insert(machine);
    PlacementAction notification;
    notification.kind = PlacementAction::Kind::kNotifyReady;
    notification.target = target;
    notification.version = resident_[target].version;
    notification.machine = machine;
    pending_notifications_.push_back(std::move(notification));
    return;
  }
  bool queue_request = reserve_slot || load_requests_.count(target) > 0;
  if (synced_ && !queue_request && !HasSlotFor(target, now)) {
    QueueNotification(PlacementAction::Kind::kNotifyFull, target, machine);
    return;
  }
  if (loading_.count(target) > 0) {
    QueueNotification(PlacementAction::Kind::kNotifyLoading, target, machine);
  }
  auto [request, added] = load_requests_.try_emplace(target);
  if (added) {
    request->second.since = now;
  }
  request->second.renewed_at = now;
  request->second.version = std::max(request->second.version, version);
  request->second.machines.insert(machine);
}

void EnginePlacement::OnLoadRequestEnded(const MachineId& machine,
                                         const ModelRef& target, Millis now) {
  auto request = load_requests_.find(target);
  if (request != load_requests_.end()) {
    request->second.machines.erase(machine);
    if (request->second.machines.empty()) {
      load_requests_.erase(request);
    }
  }
  auto demand = demand_.find(target);
  if (demand == demand_.end()) {
    return;
  }
  auto usage = demand->second.usage.find(machine);
  if (usage != demand->second.usage.end() && usage->second.running == 0) {
    usage->second.updated_at = now - kRequestGrace;
  }
}

bool EnginePlacement::HasSlotFor(const ModelRef& target, Millis now) const {
  if (resident_.count(target) > 0 || loading_.count(target) > 0) {
    return true;
  }
  bool blocked = unloading_ && now - unloading_since_ < kUnloadBlocksFor;
  if (models_.count(target.model) == 0 || blocked) {
    return false;
  }
  size_t taken = SlotsTaken();
  size_t queued = 0;
  for (const auto& [ref, request] : load_requests_) {
    bool placed = resident_.count(ref) > 0 || loading_.count(ref) > 0;
    queued += placed ? 0 : 1;
  }
  size_t evictable = 0;
  for (const auto& [ref, resident] : resident_) {
    bool needed = load_requests_.count(ref) > 0 || InUse(ref, now);
    evictable += needed ? 0 : 1;
  }
  size_t free =
      limits_.adapter_slots > taken ? limits_.adapter_slots - taken : 0;
  return queued < free + evictable;
}

size_t EnginePlacement::SlotsTaken() const {
  // A load that replaces an older version occupies a slot of its own until it
  // is complete.
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
  return taken < limits_.adapter_slots &&
         needed_mb <= limits_.weights_memory_mb;
}

void EnginePlacement::OnUsage(const MachineId& machine, const ModelRef& target,
                              uint32_t running, Millis now) {
  const uint32_t before = demand_[target].usage[machine].running;
  if (running > before) {
    AddDemand(target, running - before, now);  // May drop the entry.
  }
  Usage& usage = demand_[target].usage[machine];
  usage.running = running;
  usage.updated_at = running > 0 ? now : now - kRequestGrace;
}

void EnginePlacement::OnExpectedUse(const MachineId& machine,
                                    const ModelRef& target, Millis now) {
  Usage& usage = demand_[target].usage[machine];
  usage.updated_at = std::max(usage.updated_at, now);
}

bool EnginePlacement::ResumeLoad(const ModelRef& target, Millis now) {
  auto resident = resident_.find(target);
  if (resident == resident_.end() || !resident->second.assumed) {
    return false;
  }
  const AssumedLoad& load = *resident->second.assumed;
  if (now - load.ended_at > kMaxLoadDelay ||
      load.extensions >= kMaxLoadExtensions) {
    return false;
  }
  Loading resumed{resident->second.version, now + kLoadRecheckDelay,
                  load.began_at, true, load.extensions + 1};
  if (load.fetched) {
    load_time_.OnRejected(load.ended_at - load.began_at, load.extensions, now);
  }
  // An engine that no longer had the copy fetches the adapter.
  resumed.due = std::max(resumed.due, load.began_at + load_time_.Estimate());
  for (const MachineId& machine : resident->second.notified) {
    QueueNotification(PlacementAction::Kind::kNotifyEvicted, target, machine);
  }
  resident_.erase(resident);
  loading_[target] = resumed;
  return true;
}

void EnginePlacement::ConfirmLoad(Resident* resident, Millis now) {
  if (resident->assumed && resident->assumed->fetched) {
    load_time_.OnLoadedInTime(now);
  }
  resident->assumed.reset();
}

void EnginePlacement::OnAdapterMissing(const ModelRef& target, Millis now) {
  if (loading_.count(target) > 0 || ResumeLoad(target, now)) {
    return;
  }
  if (resident_.erase(target) > 0) {
    synced_ = false;
    report_not_before_ = std::max(report_not_before_, now);
  }
}

void EnginePlacement::OnRequiredVersion(const ModelRef& target, int64_t version,
                                        Millis now) {
  auto resident = resident_.find(target);
  if (resident != resident_.end() && resident->second.version < version) {
    auto [request, added] = load_requests_.try_emplace(target);
    if (added) {
      request->second.since = now;
    }
    request->second.renewed_at = now;
    request->second.version = std::max(request->second.version, version);
    request->second.machines.insert(resident->second.notified.begin(),
                                    resident->second.notified.end());
  }
}

void EnginePlacement::OnMachineRemoved(const MachineId& machine) {
  for (auto& [target, demand] : demand_) {
    demand.usage.erase(machine);
  }
  for (auto& [target, resident] : resident_) {
    resident.notified.erase(machine);
  }
  for (auto& [target, request] : load_requests_) {
    request.machines.erase(machine);
  }
}

bool EnginePlacement::Holds(const ModelRef& target, int64_t version) const {
  auto it = resident_.find(target);
  return it != resident_.end() && it->second.version >= version;
}

// The order count of one start never falls. Without a start in the report, a
// lower count may be that of a new start.
bool EnginePlacement::IsStale(const EngineReport& report) const {
  if (report.started_ms == 0 || report.started_ms > reported_start_ms_) {
    return false;
  }
  return report.started_ms < reported_start_ms_ ||
         report.orders_accepted < reported_count_;
}

void EnginePlacement::OnReport(bool ok, const EngineReport& report,
                               Millis now) {
  report_outstanding_ = false;
  report_not_before_ = now + kReportInterval;
  if (!ok || IsStale(report)) {
    return;
  }
  // The state in a report is some hundred milliseconds old, so a report with a
  // lower order count may date from before the last accepted order and is
  // ignored. Once that time has passed, the engine's own count is right: it may
  // not have counted an order that changed nothing.
  bool lags = now - last_accepted_at_ < kReportLag * 2;
  if (report.orders_accepted < orders_accepted_ && lags) {
    return;
  }
  reported_start_ms_ = report.started_ms;
  reported_count_ = report.orders_accepted;
  orders_accepted_ = report.orders_accepted;
  models_.clear();
  std::map<ModelRef, Resident> previous;
  previous.swap(resident_);
  for (const LoadedModel& model : report.models) {
    models_[model.model] = model.version;
    for (const LoadedAdapter& adapter : model.adapters) {
      ModelRef ref{model.model, adapter.adapter};
      Resident& resident = resident_[ref];
      resident.version = adapter.version;
      Resident& before = previous[ref];
      ConfirmLoad(&before, now);
      resident.notified = std::move(before.notified);
      loading_.erase(ref);
      RecordRecentlyHeld(ref);
    }
  }
  std::map<ModelRef, Loading> loading;
  for (const ModelRef& ref : report.loading) {
    auto it = loading_.find(ref);
    Loading load = it != loading_.end() ? it->second : Loading{};
    load.due = std::max(load.due, now + kOrderRetryDelay);
    loading[ref] = load;
  }
  loading_ = std::move(loading);
  if (!report.busy && loading_model_ && models_.count(*loading_model_) > 0) {
    loading_model_.reset();
  }
  if (loading_model_ && !report.busy && now >= loading_model_due_) {
    loading_model_.reset();  // The load failed; order it again.
  }
  synced_ = true;
}

void EnginePlacement::OnOrderOutcome(OrderOutcome outcome, Millis now) {
  if (!order_) {
    return;
  }
  OutstandingOrder order = *order_;
  order_.reset();
  bool accepted = outcome == OrderOutcome::kStarted ||
                  outcome == OrderOutcome::kAlreadyDone;
  if (outcome == OrderOutcome::kConflict && unloading_ &&
      now - unloading_since_ < kMaxUnloadWait) {
    order_not_before_ = now + kOrderRetryDelay;  // Requests still run on it.
    return;
  }
  if (!accepted) {
    synced_ = false;
    unloading_.reset();
    order_not_before_ = now + kOrderRetryDelay;
    report_not_before_ = std::max(report_not_before_, now + kReportLag);
    return;
  }
  unloading_.reset();
  last_accepted_at_ = now;
  if (!order.target.is_adapter()) {
    ++orders_accepted_;
    loading_model_ = order.target.model;
    const ModelSpec* spec = SpecOf(order.target.model);
    loading_model_due_ =
        now + (spec != nullptr ? spec->load_time : kModelLoadMargin) +
        kModelLoadMargin;
    synced_ = false;
    report_not_before_ = now + kModelLoadMargin;
    return;
  }
  if (order.action == OrderAction::kUnload) {
    ++orders_accepted_;
    ApplyUnload(order.target, now);
    if (outcome == OrderOutcome::kStarted) {
      unloading_ = order.target;
      unloading_since_ = now;
      order_not_before_ = now + kOrderRetryDelay;
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
  bool fetched = !WasRecentlyHeld(order.target);
  Millis load_time = fetched ? load_time_.Estimate() : kWarmLoadTime;
  loading_[order.target] = {order.version, now + load_time, now, fetched};
  auto request = load_requests_.find(order.target);
  if (request != load_requests_.end()) {
    for (const MachineId& machine : request->second.machines) {
      QueueNotification(PlacementAction::Kind::kNotifyLoading, order.target,
                        machine);
    }
  }
}

void EnginePlacement::QueueNotification(PlacementAction::Kind kind,
                                        const ModelRef& target,
                                        const MachineId& machine) {
  PlacementAction notification;
  notification.kind = kind;
  notification.target = target;
  notification.machine = machine;
  pending_notifications_.push_back(std::move(notification));
}

void EnginePlacement::ApplyUnload(const ModelRef& target, Millis now) {
  auto resident = resident_.find(target);
  if (resident == resident_.end()) {
    return;
  }
  for (const MachineId& machine : resident->second.notified) {
    QueueNotification(PlacementAction::Kind::kNotifyEvicted, target, machine);
  }
  RecordRecentlyHeld(target);
  ConfirmLoad(&resident->second, now);
  resident_.erase(resident);
}

void EnginePlacement::RecordRecentlyHeld(const ModelRef& target) {
  std::erase(recently_held_, target);
  recently_held_.push_back(target);
  if (recently_held_.size() > kMaxRecentlyHeld) {
    recently_held_.erase(recently_held_.begin());
  }
}

bool EnginePlacement::WasRecentlyHeld(const ModelRef& target) const {
  return std::find(recently_held_.begin(), recently_held_.end(), target) !=
         recently_held_.end();
}

const ModelSpec* EnginePlacement::SpecOf(const ModelId& model) const {
  for (const ModelSpec& spec : profile_.models) {
    if (spec.id == model) {
      return &spec;
    }
  }
  return nullptr;
}

}  // namespace bilberrypitch
