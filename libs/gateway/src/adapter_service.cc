// Wants and uses of adapters.
#include "gateway/adapter_service.h"

#include <algorithm>

#include "gateway/order_service.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/ownership.h"

namespace bilberrypitch {
namespace {

constexpr Millis kChangePeriod{100};
// Owners forget a use that is not told again.
constexpr Millis kAgainPeriod{1500};

ModelRef RefOf(const schema::ModelName& it) {
  return ModelRef{ModelId(it.model()), AdapterId(it.adapter())};
}

schema::AdapterPlace ToWire(AdapterStatus place) {
  switch (place) {
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

// What is not known is treated as gone: it is asked for again.
AdapterStatus FromWire(schema::AdapterPlace place) {
  switch (place) {
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

void SetName(schema::ModelName* to, const ModelRef& from) {
  to->set_model(from.model.str());
  to->set_adapter(from.adapter.str());
}

}  // namespace

AdapterService::AdapterService(EventLoop* loop, MachineId self,
                               Ownership* ownership, OrderService* orders,
                               PeerMessenger* peers, StatusCallback on_place)
    : self_(std::move(self)),
      ownership_(ownership),
      orders_(orders),
      peers_(peers),
      on_place_(std::move(on_place)),
      changed_timer_(loop),
      again_timer_(loop) {
  TellAgain();
}

MachineId AdapterService::OwnerOf(const UpstreamId& engine) const {
  const OwnerRecord* owner = ownership_->OwnerOf(EngineResource(engine));
  return owner != nullptr ? owner->machine : MachineId();
}

void AdapterService::RequestLoad(const UpstreamId& engine,
                                 const ModelRef& target, int64_t version,
                                 bool insists) {
  MachineId owner = OwnerOf(engine);
  if (owner == self_) {
    orders_->OnLoadRequest(self_, engine, target, version, insists);
    return;
  }
  schema::PeerItem item;
  item.mutable_want()->set_engine(engine.str());
  SetName(item.mutable_want()->mutable_target(), target);
  item.mutable_want()->set_minimum_version(version);
  item.mutable_want()->set_insists(insists);
  peers_->Send(owner, std::move(item));
}

void AdapterService::UpdateWaitCount(const UpstreamId& engine,
                                     const ModelRef& target, int change) {
  Place place(engine, target);
  int left = waiting_[place] += change;
  if (left > 0) {
    return;
  }
  waiting_.erase(place);
  MachineId owner = OwnerOf(engine);
  if (owner == self_) {
    orders_->OnLoadRequestEnded(self_, engine, target);
    return;
  }
  schema::PeerItem item;
  item.mutable_want()->set_engine(engine.str());
  SetName(item.mutable_want()->mutable_target(), target);
  item.mutable_want()->set_ended(true);
  peers_->Send(owner, std::move(item));
}

void AdapterService::SendStatus(const MachineId& machine,
                                const UpstreamId& engine,
                                const ModelRef& target, int64_t version,
                                AdapterStatus place) {
  if (machine == self_) {
    on_place_(engine, target, version, place);
    return;
  }
  schema::PeerItem item;
  item.mutable_state()->set_engine(engine.str());
  SetName(item.mutable_state()->mutable_target(), target);
  item.mutable_state()->set_version(version);
  item.mutable_state()->set_place(ToWire(place));
  peers_->Send(machine, std::move(item));
}

void AdapterService::OnAdapterStatus(const schema::AdapterState& state) {
  on_place_(UpstreamId(state.engine()), RefOf(state.target()), state.version(),
            FromWire(state.place()));
}

void AdapterService::OnLoadRequest(const MachineId& from,
                                   const schema::WantAdapter& want) {
  UpstreamId engine(want.engine());
  if (want.ended()) {
    orders_->OnLoadRequestEnded(from, engine, RefOf(want.target()));
    return;
  }
  orders_->OnLoadRequest(from, engine, RefOf(want.target()),
                         want.minimum_version(), want.insists());
}

void AdapterService::OnUsage(const MachineId& from,
                             const schema::AdapterUse& use) {
  orders_->OnUsage(from, UpstreamId(use.engine()), RefOf(use.target()),
                   use.running());
}

void AdapterService::OnAdapterMissing(const schema::AdapterMissing& missing) {
  orders_->OnAdapterMissing(UpstreamId(missing.engine()),
                            RefOf(missing.target()));
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
  SetName(item.mutable_missing()->mutable_target(), target);
  peers_->Send(owner, std::move(item));
}

void AdapterService::UpdateUseCount(const UpstreamId& engine,
                                    const ModelRef& target, int change) {
  Place place(engine, target);
  int running = running_[place] += change;
  if (running <= 0) {
    running_.erase(place);
  }
  if (change > 0 || OwnerOf(engine) == self_) {
    // Before the owner takes the adapter for idle.
    TellOne(place, running);
    return;
  }
  changed_.insert(place);
  if (!changed_timer_.pending()) {
    changed_timer_.Start(kChangePeriod, [this] { TellChanged(); });
  }
}

void AdapterService::TellOne(const Place& place, int running) {
  changed_.erase(place);
  auto count = static_cast<uint32_t>(std::max(0, running));
  MachineId owner = OwnerOf(place.first);
  if (owner == self_) {
    orders_->OnUsage(self_, place.first, place.second, count);
    return;
  }
  schema::PeerItem item;
  item.mutable_use()->set_engine(place.first.str());
  SetName(item.mutable_use()->mutable_target(), place.second);
  item.mutable_use()->set_running(count);
  peers_->Send(owner, std::move(item));
}

void AdapterService::TellChanged() {
  std::set<Place> changed;
  changed.swap(changed_);
  for (const Place& place : changed) {
    auto it = running_.find(place);
    TellOne(place, it == running_.end() ? 0 : it->second);
  }
}

void AdapterService::TellAgain() {
  for (const auto& [place, running] : running_) {
    TellOne(place, running);
  }
  again_timer_.Start(kAgainPeriod, [this] { TellAgain(); });
}

}  // namespace bilberrypitch
