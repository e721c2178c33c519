// Load requests, status notifications and use reports of adapters.
#include "gateway/adapter_service.h"

#include <algorithm>

#include "gateway/order_service.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/ownership.h"

namespace bilberrypitch {
namespace {

// Delay after which decreased use counts are reported together.
constexpr Millis kUseUpdateDelay{100};
// Owners drop a use count that is not reported again.
constexpr Millis kUseRefreshInterval{1500};

ModelRef ToModelRef(const schema::ModelName& name) {
  return ModelRef{ModelId(name.model()), AdapterId(name.adapter())};
}

schema::AdapterPlace ToWire(AdapterStatus status) {
  switch (status) {
    case AdapterStatus::kReady:
      return schema::PLACE_READY;
    case AdapterStatus::kEvicted:
      return schema::PLACE_EVICTED;
    case AdapterStatus::kFull:
      return schema::PLACE_FULL;
    case AdapterStatus::kLoading:
      return schema::PLACE_LOADING;
  }
  return schema::PLACE_UNKNOWN;
}

// An unknown status is treated as evicted, so the adapter is requested again.
AdapterStatus FromWire(schema::AdapterPlace status) {
  switch (status) {
    case schema::PLACE_READY:
      return AdapterStatus::kReady;
    case schema::PLACE_FULL:
      return AdapterStatus::kFull;
    case schema::PLACE_LOADING:
      return AdapterStatus::kLoading;
    default:
      return AdapterStatus::kEvicted;
  }
}

void SetModelName(schema::ModelName* to, const ModelRef& from) {
  to->set_model(from.model.str());
  to->set_adapter(from.adapter.str());
}

}  // namespace

AdapterService::AdapterService(EventLoop* loop, MachineId self,
                               Ownership* ownership, OrderService* orders,
                               PeerMessenger* peers, Hooks hooks)
    : self_(std::move(self)),
      ownership_(ownership),
      orders_(orders),
      peers_(peers),
      hooks_(std::move(hooks)),
      use_update_timer_(loop),
      use_refresh_timer_(loop) {
  SendAllUses();
}

MachineId AdapterService::OwnerOf(const UpstreamId& engine) const {
  const OwnerRecord* owner = ownership_->OwnerOf(EngineResource(engine));
  return owner != nullptr ? owner->machine : MachineId();
}

void AdapterService::RequestLoad(const UpstreamId& engine,
                                 const ModelRef& target, int64_t version,
                                 bool reserve_slot) {
  MachineId owner = OwnerOf(engine);
  if (owner == self_) {
    orders_->OnLoadRequest(self_, engine, target, version, reserve_slot);
    return;
  }
  schema::PeerItem item;
  item.mutable_want()->set_engine(engine.str());
  SetModelName(item.mutable_want()->mutable_target(), target);
  item.mutable_want()->set_minimum_version(version);
  item.mutable_want()->set_insists(reserve_slot);
  peers_->Send(owner, std::move(item));
}

void AdapterService::UpdateWaitCount(const UpstreamId& engine,
                                     const ModelRef& target, int change) {
  EngineAdapter key(engine, target);
  int waiting = waiting_counts_[key] += change;
  if (waiting > 0) {
    return;
  }
  waiting_counts_.erase(key);
  MachineId owner = OwnerOf(engine);
  if (owner == self_) {
    orders_->OnLoadRequestEnded(self_, engine, target);
    return;
  }
  schema::PeerItem item;
  item.mutable_want()->set_engine(engine.str());
  SetModelName(item.mutable_want()->mutable_target(), target);
  item.mutable_want()->set_ended(true);
  peers_->Send(owner, std::move(item));
}

void AdapterService::SendStatus(const MachineId& machine,
                                const UpstreamId& engine,
                                const ModelRef& target, int64_t version,
                                AdapterStatus status) {
  if (machine == self_) {
    hooks_.on_status(engine, target, version, status);
    return;
  }
  schema::PeerItem item;
  item.mutable_state()->set_engine(engine.str());
  SetModelName(item.mutable_state()->mutable_target(), target);
  item.mutable_state()->set_version(version);
  item.mutable_state()->set_place(ToWire(status));
  item.mutable_state()->set_waiting_tokens(hooks_.queued_tokens(engine));
  peers_->Send(machine, std::move(item));
}

void AdapterService::OnAdapterStatus(const schema::AdapterState& state) {
  UpstreamId engine(state.engine());
  hooks_.on_queued_tokens(engine, state.waiting_tokens());
  hooks_.on_status(engine, ToModelRef(state.target()), state.version(),
                   FromWire(state.place()));
}

void AdapterService::OnLoadRequest(const MachineId& from,
                                   const schema::WantAdapter& want) {
  UpstreamId engine(want.engine());
  if (want.ended()) {
    orders_->OnLoadRequestEnded(from, engine, ToModelRef(want.target()));
    return;
  }
  orders_->OnLoadRequest(from, engine, ToModelRef(want.target()),
                         want.minimum_version(), want.insists());
}

void AdapterService::OnUsage(const MachineId& from,
                             const schema::AdapterUse& use) {
  orders_->OnUsage(from, UpstreamId(use.engine()), ToModelRef(use.target()),
                   use.running());
}

void AdapterService::OnAdapterMissing(const schema::AdapterMissing& missing) {
  orders_->OnAdapterMissing(UpstreamId(missing.engine()),
                            ToModelRef(missing.target()));
}

void AdapterService::ReportMissing(const UpstreamId& engine,
                                   const ModelRef& target) {
  MachineId owner = OwnerOf(engine);
  if (owner == self_) {
    orders_->OnAdapterMissing(engine, target);
    return;
  }
  schema::PeerItem item;
  item.mutable_missing()->set_engine(engine.str());
  SetModelName(item.mutable_missing()->mutable_target(), target);
  peers_->Send(owner, std::move(item));
}

void AdapterService::UpdateUseCount(const UpstreamId& engine,
                                    const ModelRef& target, int change) {
  EngineAdapter key(engine, target);
  int running = running_counts_[key] += change;
  if (running <= 0) {
    running_counts_.erase(key);
  }
  if (change > 0 || running <= 0 || OwnerOf(engine) == self_) {
    // Reported at once, before the owner considers the adapter idle, and so
    // that its slot is free as soon as its last request has ended.
    SendUse(key, running);
    return;
  }
  changed_uses_.insert(key);
  if (!use_update_timer_.pending()) {
    use_update_timer_.Start(kUseUpdateDelay, [this] { SendChangedUses(); });
  }
}

void AdapterService::SendUse(const EngineAdapter& key, int running) {
  changed_uses_.erase(key);
  auto count = static_cast<uint32_t>(std::max(0, running));
  MachineId owner = OwnerOf(key.first);
  if (owner == self_) {
    orders_->OnUsage(self_, key.first, key.second, count);
    return;
  }
  schema::PeerItem item;
  item.mutable_use()->set_engine(key.first.str());
  SetModelName(item.mutable_use()->mutable_target(), key.second);
  item.mutable_use()->set_running(count);
  peers_->Send(owner, std::move(item));
}

void AdapterService::SendChangedUses() {
  std::set<EngineAdapter> changed;
  changed.swap(changed_uses_);
  for (const EngineAdapter& key : changed) {
    auto it = running_counts_.find(key);
    SendUse(key, it == running_counts_.end() ? 0 : it->second);
  }
}

void AdapterService::SendAllUses() {
  for (const auto& [key, running] : running_counts_) {
    SendUse(key, running);
  }
  use_refresh_timer_.Start(kUseRefreshInterval, [this] { SendAllUses(); });
}

}  // namespace bilberrypitch
