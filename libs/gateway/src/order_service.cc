// Orders and reports of owned engines.
#include "gateway/order_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/lease_manager.h"
#include "serving/ownership.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

struct OrderService::Placed {
  Placed(EventLoop* loop, UpstreamId id) : engine(std::move(id)), timer(loop) {}
  const UpstreamId engine;
  EnginePlacement placement;
  Timer timer;
  bool running = false;  // Within Run.
  bool again = false;    // Run once more after the current one.
};

OrderService::OrderService(EventLoop* loop, MachineId self,
                           Ownership* ownership, LeaseManager* lease,
                           UpstreamRegistry* upstreams, EngineApi* engines,
                           Hooks hooks)
    : loop_(loop),
      self_(std::move(self)),
      ownership_(ownership),
      lease_(lease),
      upstreams_(upstreams),
      engines_(engines),
      hooks_(std::move(hooks)) {}

OrderService::~OrderService() = default;

OrderService::Placed* OrderService::Find(const UpstreamId& engine) {
  auto it = placed_.find(engine);
  return it == placed_.end() ? nullptr : it->second.get();
}

void OrderService::OnOwnershipChanged(const UpstreamId& engine) {
  bool own = ownership_->OwnedBySelf(EngineResource(engine));
  if (!own) {
    placed_.erase(engine);
    return;
  }
  const EngineProfile* spec = hooks_.engine_profile(engine);
  if (spec == nullptr) {
    return;
  }
  auto [it, added] = placed_.try_emplace(engine);
  if (added) {
    it->second = std::make_shared<Placed>(loop_, engine);
    it->second->placement.Reset(EventLoop::Now());
    LogInfo("order", "Owns engine={}.", engine.str());
  }
  it->second->placement.SetEngine(*spec);
  Run(it->second.get());
}

void OrderService::OnEngineStarted(const UpstreamId& engine) {
  if (Placed* it = Find(engine)) {
    it->placement.Reset(EventLoop::Now());
    Run(it);
  }
}

void OrderService::OnEngineLeft(const UpstreamId& engine) {
  placed_.erase(engine);
}

void OrderService::OnLoadRequest(const MachineId& machine,
                                 const UpstreamId& engine,
                                 const ModelRef& target, int64_t version,
                                 bool insists) {
  if (Placed* it = Find(engine)) {
    int64_t named = hooks_.required_version(target);
    it->placement.OnLoadRequest(machine, target, std::max(version, named),
                                EventLoop::Now(), insists);
    Run(it);
  }
}

void OrderService::OnLoadRequestEnded(const MachineId& machine,
                                      const UpstreamId& engine,
                                      const ModelRef& target) {
  if (Placed* it = Find(engine)) {
    it->placement.OnLoadRequestEnded(machine, target, EventLoop::Now());
  }
}

void OrderService::OnUsage(const MachineId& machine, const UpstreamId& engine,
                           const ModelRef& target, uint32_t running) {
  if (Placed* it = Find(engine)) {
    it->placement.OnUsage(machine, target, running, EventLoop::Now());
    if (running == 0) {
      Run(it);
    }
  }
}

void OrderService::OnAdapterMissing(const UpstreamId& engine,
                                    const ModelRef& target) {
  if (Placed* it = Find(engine)) {
    it->placement.OnAdapterMissing(target, EventLoop::Now());
    Run(it);
  }
}

void OrderService::OnRequiredVersion(const ModelRef& target, int64_t version) {
  for (auto& [engine, it] : placed_) {
    it->placement.OnRequiredVersion(target, version, EventLoop::Now());
    Run(it.get());
  }
}

void OrderService::OnMachineRemoved(const MachineId& machine) {
  for (auto& [engine, it] : placed_) {
    it->placement.OnMachineRemoved(machine);
  }
}

void OrderService::Run(Placed* it) {
  if (it->running) {
    it->again = true;
    return;
  }
  it->running = true;
  do {
    it->again = false;
    Millis now = EventLoop::Now();
    bool may_order =
        ownership_->FencingToken(EngineResource(it->engine), now) != 0 &&
        lease_->IsValid(now);
    for (const PlacementAction& action :
         it->placement.TakeActions(may_order, now)) {
      Do(it, action);
    }
  } while (it->again);
  it->running = false;
  Millis now = EventLoop::Now();
  Millis due = it->placement.NextWakeup(now);
  Millis from = ownership_->ActiveFrom(EngineResource(it->engine));
  if (due != Millis(0) && from > now) {
    due = from;  // Nothing to do before the right begins.
  }
  if (due == Millis(0)) {
    it->timer.Cancel();
    return;
  }
  it->timer.Start(std::max(Millis(1), due - now), [this, it] { Run(it); });
}

void OrderService::Do(Placed* it, const PlacementAction& action) {
  switch (action.kind) {
    case PlacementAction::Kind::kFetchReport:
      Report(it);
      break;
    case PlacementAction::Kind::kSendOrder:
      Order(it, action);
      break;
    case PlacementAction::Kind::kNotifyReady:
      hooks_.notify_status(action.machine, it->engine, action.target,
                           action.version, AdapterStatus::kReady);
      break;
    case PlacementAction::Kind::kNotifyEvicted:
      hooks_.notify_status(action.machine, it->engine, action.target, 0,
                           AdapterStatus::kEvicted);
      break;
    case PlacementAction::Kind::kNotifyFull:
      hooks_.notify_status(action.machine, it->engine, action.target, 0,
                           AdapterStatus::kFull);
      break;
    case PlacementAction::Kind::kNotifyLoading:
      hooks_.notify_status(action.machine, it->engine, action.target, 0,
                           AdapterStatus::kLoading);
      break;
  }
}

void OrderService::Report(Placed* it) {
  UpstreamState* state = upstreams_->Find(it->engine);
  std::weak_ptr<Placed> weak = placed_.at(it->engine);
  if (state == nullptr) {
    return;
  }
  ++reports_;
  engines_->FetchReport(it->engine, state->entry.address,
                        [this, weak](bool ok, const EngineReport& report) {
                          if (auto placed = weak.lock()) {
                            placed->placement.OnReport(ok, report,
                                                       EventLoop::Now());
                            Run(placed.get());
                          }
                        });
}

void OrderService::Order(Placed* it, const PlacementAction& action) {
  UpstreamState* state = upstreams_->Find(it->engine);
  std::weak_ptr<Placed> weak = placed_.at(it->engine);
  if (state == nullptr) {
    return;
  }
  Millis now = EventLoop::Now();
  EngineOrder order;
  order.engine = it->engine;
  order.address = state->entry.address;
  order.action = action.order_action;
  order.target = action.target;
  order.version = action.version;
  order.holder = self_.str();
  order.fencing_token =
      ownership_->FencingToken(EngineResource(it->engine), now);
  order.expected_order_count = action.expected_order_count;
  ++orders_;
  engines_->SendOrder(order, [this, weak, order](OrderOutcome outcome) {
    const char* verb = order.action == OrderAction::kLoad ? "load" : "unload";
    LogInfo("order",
            "{} engine={} target={} version={} expected={} fence={} "
            "outcome={}.",
            verb, order.engine.str(), ToString(order.target), order.version,
            order.expected_order_count, order.fencing_token,
            static_cast<int>(outcome));
    if (auto placed = weak.lock()) {
      placed->placement.OnOrderOutcome(outcome, EventLoop::Now());
      Run(placed.get());
    }
  });
}

}  // namespace bilberrypitch
