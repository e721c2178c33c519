// Collects load changes and broadcasts them.
#include "gateway/load_broadcaster.h"

#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

constexpr Millis kMinPeriod{15};
// The period grows by `kMinPeriod` for each step of this size in the square of
// the number of instances.
constexpr size_t kInstancesSquaredPerStep = 200;

}  // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop* loop, UpstreamRegistry* upstreams,
                                 PeerMessenger* peers)
    : upstreams_(upstreams), peers_(peers), timer_(loop) {}

void LoadBroadcaster::OnLoadChanged(const UpstreamId& engine) {
  changed_.insert(engine);
  if (!timer_.pending()) {
    timer_.Start(Period(), [this] { BroadcastLoads(); });
  }
}

// Grows with the number of instances, so that the rate of reports that each
// instance receives stays bounded.
Millis LoadBroadcaster::Period() const {
  size_t instance_count = peers_->peers().size() + 1;
  return kMinPeriod * static_cast<int64_t>(1 + instance_count * instance_count /
                                                   kInstancesSquaredPerStep);
}

void LoadBroadcaster::BroadcastLoads() {
  for (const UpstreamId& id : changed_) {
    const UpstreamState* upstream = upstreams_->Find(id);
    if (upstream == nullptr) {
      continue;
    }
    schema::PeerItem item;
    item.mutable_load()->set_engine(id.str());
    item.mutable_load()->set_in_flight(upstream->in_flight);
    item.mutable_load()->set_tokens_unread(upstream->pending_prefill_tokens);
    peers_->Broadcast(item);
  }
  changed_.clear();
}

}  // namespace bilberrypitch
