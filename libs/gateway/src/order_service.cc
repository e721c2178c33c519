// Reports and orders of the owned engines.
#include "gateway/order_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/lease_manager.h"
#include "serving/ownership.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

struct OrderService::OwnedEngine {
  OwnedEngine(EventLoop* loop, UpstreamId id)
      : engine(std::move(id)), timer(loop) {}
  const UpstreamId engine;
  EnginePlacement placement;
  Timer timer;
  bool in_progress = false;  // While RunPlacement executes.
  bool rerun = false;        // Take the actions once more after this pass.
};

OrderService::OrderService(EventLoop* loop, MachineId self,
                           Ownership* ownership, LeaseManager* lease_manager,
                           UpstreamRegistry* upstreams, EngineApi* engines,
                           Hooks hooks)
    : loop_(loop),
      self_(std::move(self)),
      ownership_(ownership),
      lease_manager_(lease_manager),
      upstreams_(upstreams),
      engines_(engines),
      hooks_(std::move(hooks)) {}

OrderService::~OrderService() = default;

OrderService::OwnedEngine* OrderService::Find(const UpstreamId& engine) {
  auto it = owned_engines_.find(engine);
  return it == owned_engines_.end() ? nullptr : it->second.get();
}

void OrderService::OnOwnershipChanged(const UpstreamId& engine) {
  bool owned_by_self = ownership_->OwnedBySelf(EngineResource(engine));
  UpstreamState* state = upstreams_->Find(engine);
  bool is_serving = state != nullptr && state->IsServing(EventLoop::Now());
  if (!owned_by_self || !is_serving) {
    owned_engines_.erase(engine);
    return;
  }
  const EngineProfile* profile = hooks_.engine_profile(engine);
  if (profile == nullptr) {
    return;
  }
  auto [it, added] = owned_engines_.try_emplace(engine);
  if (added) {
    it->second = std::make_shared<OwnedEngine>(loop_, engine);
    it->second->placement.Reset(EventLoop::Now());
    LogInfo("order", "Owns engine={}.", engine.str());
  }
  it->second->placement.SetEngine(*profile);
  RunPlacement(it->second.get());
}

void OrderService::OnEngineStarted(const UpstreamId& engine) {
  if (OwnedEngine* owned = Find(engine)) {
    owned->placement.Reset(EventLoop::Now());
    RunPlacement(owned);
  }
}

void OrderService::OnEngineUnavailable(const UpstreamId& engine) {
  owned_engines_.erase(engine);
}

void OrderService::OnLoadRequest(const MachineId& machine,
                                 const UpstreamId& engine,
                                 const ModelRef& target, int64_t version,
                                 bool reserve_slot) {
  if (OwnedEngine* owned = Find(engine)) {
    int64_t required_version = hooks_.required_version(target);
    owned->placement.OnLoadRequest(machine, target,
                                   std::max(version, required_version),
                                   EventLoop::Now(), reserve_slot);
    RunPlacement(owned);
  }
}

void OrderService::OnLoadRequestEnded(const MachineId& machine,
                                      const UpstreamId& engine,
                                      const ModelRef& target) {
  if (OwnedEngine* owned = Find(engine)) {
    owned->placement.OnLoadRequestEnded(machine, target, EventLoop::Now());
  }
}

void OrderService::OnUsage(const MachineId& machine, const UpstreamId& engine,
                           const ModelRef& target, uint32_t running) {
  if (OwnedEngine* owned = Find(engine)) {
    owned->placement.OnUsage(machine, target, running, EventLoop::Now());
    if (running == 0) {
      RunPlacement(owned);
    }
  }
}

void OrderService::OnPromptWaiting(const MachineId& machine,
                                   const UpstreamId& engine,
                                   const ModelRef& target) {
  if (OwnedEngine* owned = Find(engine)) {
    owned->placement.OnExpectedUse(machine, target, EventLoop::Now());
  }
}

void OrderService::OnAdapterMissing(const UpstreamId& engine,
                                    const ModelRef& target) {
  if (OwnedEngine* owned = Find(engine)) {
    owned->placement.OnAdapterMissing(target, EventLoop::Now());
    RunPlacement(owned);
  }
}

void OrderService::OnRequiredVersion(const ModelRef& target, int64_t version) {
  for (auto& [engine, owned] : owned_engines_) {
    owned->placement.OnRequiredVersion(target, version, EventLoop::Now());
    RunPlacement(owned.get());
  }
}

void OrderService::OnMachineRemoved(const MachineId& machine) {
  for (auto& [engine, owned] : owned_engines_) {
    owned->placement.OnMachineRemoved(machine);
  }
}

void OrderService::RunPlacement(OwnedEngine* owned) {
  if (owned->in_progress) {
    owned->rerun = true;
    return;
  }
  owned->in_progress = true;
  do {
    owned->rerun = false;
    Millis now = EventLoop::Now();
    bool may_order =
        ownership_->FencingToken(EngineResource(owned->engine), now) != 0 &&
        lease_manager_->IsValid(now);
    for (const PlacementAction& action :
         owned->placement.TakeActions(may_order, now)) {
      Execute(owned, action);
    }
  } while (owned->rerun);
  owned->in_progress = false;
  Millis now = EventLoop::Now();
  Millis wakeup = owned->placement.NextWakeup(now);
  Millis active_from = ownership_->ActiveFrom(EngineResource(owned->engine));
  // No action is allowed before the ownership takes effect.
  if (wakeup != Millis(0) && active_from > now) {
    wakeup = active_from;
  }
  if (wakeup == Millis(0)) {
    owned->timer.Cancel();
    return;
  }
  owned->timer.Start(std::max(Millis(1), wakeup - now),
                     [this, owned] { RunPlacement(owned); });
}

void OrderService::Execute(OwnedEngine* owned, const PlacementAction& action) {
  switch (action.kind) {
    case PlacementAction::Kind::kFetchReport:
      FetchReport(owned);
      break;
    case PlacementAction::Kind::kSendOrder:
      SendOrder(owned, action);
      break;
    case PlacementAction::Kind::kNotifyReady:
      hooks_.notify_status(action.machine, owned->engine, action.target,
                           action.version, AdapterStatus::kReady);
      break;
    case PlacementAction::Kind::kNotifyEvicted:
      hooks_.notify_status(action.machine, owned->engine, action.target, 0,
                           AdapterStatus::kEvicted);
      break;
    case PlacementAction::Kind::kNotifyFull:
      hooks_.notify_status(action.machine, owned->engine, action.target, 0,
                           AdapterStatus::kFull);
      break;
    case PlacementAction::Kind::kNotifyLoading:
      hooks_.notify_status(action.machine, owned->engine, action.target, 0,
                           AdapterStatus::kLoading);
      break;
  }
}

void OrderService::FetchReport(OwnedEngine* owned) {
  UpstreamState* state = upstreams_->Find(owned->engine);
  std::weak_ptr<OwnedEngine> weak = owned_engines_.at(owned->engine);
  if (state == nullptr) {
    return;
  }
  ++report_count_;
  engines_->FetchReport(owned->engine, state->entry.address,
                        [this, weak](bool ok, const EngineReport& report) {
                          if (auto locked = weak.lock()) {
                            locked->placement.OnReport(ok, report,
                                                       EventLoop::Now());
                            RunPlacement(locked.get());
                          }
                        });
}

void OrderService::SendOrder(OwnedEngine* owned,
                             const PlacementAction& action) {
  UpstreamState* state = upstreams_->Find(owned->engine);
  std::weak_ptr<OwnedEngine> weak = owned_engines_.at(owned->engine);
  if (state == nullptr) {
    return;
  }
  Millis now = EventLoop::Now();
  EngineOrder order;
  order.engine = owned->engine;
  order.address = state->entry.address;
  order.action = action.order_action;
  order.target = action.target;
  order.version = action.version;
  order.machine = self_.str();
  order.fencing_token =
      ownership_->FencingToken(EngineResource(owned->engine), now);
  order.expected_order_count = action.expected_order_count;
  ++order_count_;
  engines_->SendOrder(order, [this, weak, order](OrderOutcome outcome) {
    const char* action_name =
        order.action == OrderAction::kLoad ? "load" : "unload";
    LogInfo("order",
            "{} engine={} target={} version={} expected={} fence={} "
            "outcome={}.",
            action_name, order.engine.str(), ToString(order.target),
            order.version, order.expected_order_count, order.fencing_token,
            static_cast<int>(outcome));
    if (auto locked = weak.lock()) {
      locked->placement.OnOrderOutcome(outcome, EventLoop::Now());
      RunPlacement(locked.get());
    }
  });
}

}  // namespace bilberrypitch
