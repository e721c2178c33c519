// Collects load changes and slowdowns and sends them.
#include "gateway/load_broadcaster.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kMinPeriod{15};
// The period grows by `kMinPeriod` for each step of this size in the square of
// the number of instances.
constexpr size_t kInstancesSquaredPerStep = 200;

// An instance sends slowdowns, at most so many at once, no more often than this
// time for each instance of the zone: each receives up to 100 datagrams a
// second, however many instances there are.
constexpr Millis kSlowdownPeriodPerInstance{10};
constexpr Millis kMinSlowdownPeriod{100};
constexpr size_t kMaxSlowdownsAtOnce = 8;

constexpr double kPercent = 100;

schema::PeerItem EncodeSlowdown(const UpstreamId& id, double slowdown) {
  schema::PeerItem item;
  item.mutable_slowdown_news()->set_upstream(id.str());
  item.mutable_slowdown_news()->set_percent(
      static_cast<uint32_t>(std::lround(slowdown * kPercent)));
  return item;
}

}  // namespace

LoadBroadcaster::LoadBroadcaster(EventLoop* loop, const ZoneId& zone,
                                 UpstreamRegistry* upstreams,
                                 PeerMessenger* peers)
    : zone_(zone),
      upstreams_(upstreams),
      peers_(peers),
      timer_(loop),
      slowdown_timer_(loop) {}

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

void LoadBroadcaster::OnCapacitySample(const UpstreamId& id) {
  UpstreamState* upstream = upstreams_->Find(id);
  if (upstream == nullptr) {
    return;
  }
  LogIfReclassified(*upstream);
  if (!upstream->capacity.IsNewsDue(EventLoop::Now())) {
    return;
  }
  slowdowns_due_.insert(id);
  if (!slowdown_timer_.pending()) {
    SendSlowdowns();
  }
}

// The first is sent at once, further ones when a period has passed.
void LoadBroadcaster::SendSlowdowns() {
  Millis now = EventLoop::Now();
  size_t sent = 0;
  while (!slowdowns_due_.empty() && sent < kMaxSlowdownsAtOnce) {
    UpstreamId id = slowdowns_due_.extract(slowdowns_due_.begin()).value();
    UpstreamState* upstream = upstreams_->Find(id);
    // Another instance may have sent it meanwhile.
    if (upstream != nullptr && upstream->capacity.IsNewsDue(now)) {
      SendToZone(EncodeSlowdown(id, upstream->capacity.Slowdown(now)));
      upstream->capacity.OnNewsSent(now);
      ++sent;
    }
  }
  if (sent > 0) {
    slowdown_timer_.Start(SlowdownPeriod(), [this] { SendSlowdowns(); });
  }
}

Millis LoadBroadcaster::SlowdownPeriod() const {
  auto in_zone =
      std::count_if(peers_->peers().begin(), peers_->peers().end(),
                    [this](const auto& it) { return it.second.zone == zone_; });
  return std::max(kMinSlowdownPeriod, kSlowdownPeriodPerInstance * in_zone);
}

void LoadBroadcaster::SendToZone(const schema::PeerItem& item) {
  for (const auto& [machine, member] : peers_->peers()) {
    if (member.zone == zone_) {
      peers_->Send(machine, item);
    }
  }
}

void LoadBroadcaster::OnNews(const schema::SlowdownNews& news) {
  UpstreamState* upstream = upstreams_->Find(UpstreamId(news.upstream()));
  if (upstream != nullptr) {
    upstream->capacity.OnNews(news.percent() / kPercent, EventLoop::Now());
    LogIfReclassified(*upstream);
  }
}

void LoadBroadcaster::LogIfReclassified(const UpstreamState& upstream) {
  const UpstreamId& id = upstream.entry.id;
  bool is_slow = upstream.capacity.is_slow();
  if (is_slow == slow_.contains(id)) {
    return;
  }
  std::erase_if(slow_, [this](const UpstreamId& it) {
    return upstreams_->Find(it) == nullptr;
  });
  if (is_slow) {
    slow_.insert(id);
  } else {
    slow_.erase(id);
  }
  LogInfo("upstream", "{} id={} slowdown={:.2f} limit={:.1f}.",
          is_slow ? "Is slow" : "Has recovered", id.str(),
          upstream.capacity.Slowdown(EventLoop::Now()),
          upstream.capacity.ConcurrencyLimit(upstream.entry.slots));
}

}  // namespace bilberrypitch
