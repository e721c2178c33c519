// Load of engines, told to peers.
#include "gateway/load_broadcaster.h"

#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

constexpr Millis kPeriod{15};
constexpr size_t kInstancesSquared = 200;

}  // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop* loop, UpstreamRegistry* upstreams,
                                 PeerMessenger* peers)
    : upstreams_(upstreams), peers_(peers), timer_(loop) {}

void LoadBroadcaster::OnLoadChanged(const UpstreamId& engine) {
  changed_.insert(engine);
  if (!timer_.pending()) {
    timer_.Start(Period(), [this] { Tell(); });
  }
}

// Rarer with more instances, so that what each hears stays bounded.
Millis LoadBroadcaster::Period() const {
  size_t n = peers_->peers().size() + 1;
  return kPeriod * static_cast<int64_t>(1 + n * n / kInstancesSquared);
}

void LoadBroadcaster::Tell() {
  for (const UpstreamId& id : changed_) {
    const UpstreamState* it = upstreams_->Find(id);
    if (it == nullptr) {
      continue;
    }
    schema::PeerItem item;
    item.mutable_load()->set_engine(id.str());
    item.mutable_load()->set_in_flight(it->in_flight);
    item.mutable_load()->set_tokens_unread(it->pending_prefill_tokens);
    peers_->Broadcast(item);
  }
  changed_.clear();
}

}  // namespace bilberrypitch
