// Probes, news between instances and the choice of another instance.
#include "gateway/path_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/tcp_probe.h"

namespace bilberrypitch {
namespace {

constexpr Millis kProbeTimeout{300};
// An instance without a path repeats so; the others believe it for longer.
constexpr Millis kNewsInterval{700};
constexpr Millis kNewsLifetime{2000};

}  // namespace

PathService::PathService(EventLoop* loop, const ClusterMember& self,
                         UpstreamRegistry* upstreams, PeerMessenger* peers,
                         std::function<void()> on_lost)
    : loop_(loop),
      self_(self),
      upstreams_(upstreams),
      peers_(peers),
      on_lost_(std::move(on_lost)),
      round_timer_(loop),
      news_timer_(loop) {}

PathService::~PathService() = default;

std::optional<ClusterMember> PathService::ChooseRelay(
    uint64_t hash, const std::set<MachineId>& excluded) const {
  Millis now = EventLoop::Now();
  std::vector<const ClusterMember*> near;
  std::vector<const ClusterMember*> all;
  for (const auto& [machine, member] : peers_->peers()) {
    auto lost = lost_peers_.find(machine);
    bool has_path = lost == lost_peers_.end() || now >= lost->second;
    if (!has_path || excluded.count(machine) > 0) {
      continue;
    }
    all.push_back(&member);
    if (member.zone == self_.zone) {
      near.push_back(&member);
    }
  }
  const auto& candidates = near.empty() ? all : near;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[hash % candidates.size()];
}

void PathService::OnReached() {
  bool was_lost = is_lost();
  monitor_.OnReached(EventLoop::Now());
  OnStateMayHaveChanged(was_lost);
}

void PathService::OnUnreached(const UpstreamId& upstream) {
  monitor_.OnUnreached(upstream, EventLoop::Now());
  Update();
}

void PathService::OnRequestSent() {
  monitor_.OnRequestSent(EventLoop::Now());
  if (!round_timer_.pending()) {
    Update();
  }
}

void PathService::OnBytes() { monitor_.OnBytes(EventLoop::Now()); }

void PathService::OnRequestEnded() { monitor_.OnRequestEnded(); }

void PathService::Update() {
  Millis now = EventLoop::Now();
  std::vector<UpstreamId> known;
  Millis due = monitor_.NextDue();
  if (due != Millis(0) && due <= now) {
    for (const auto& [id, upstream] : upstreams_->all()) {
      if (upstream->IsUsable(now)) {
        known.push_back(id);
      }
    }
    StartRound(monitor_.TakeRound(known, now));
    due = known.empty() ? now + kNewsInterval : monitor_.NextDue();
  }
  if (due != Millis(0)) {
    round_timer_.Start(std::max(Millis(1), due - now), [this] { Update(); });
  }
}

void PathService::StartRound(const std::vector<UpstreamId>& round) {
  struct Outcome {
    size_t open = 0;
    bool reached = false;
  };
  auto outcome = std::make_shared<Outcome>();
  outcome->open = round.size();
  for (const UpstreamId& id : round) {
    ProbeTcp(loop_, upstreams_->Find(id)->entry.address, kProbeTimeout,
             [this, outcome, alive = std::weak_ptr(is_alive_)](bool reached) {
               outcome->reached = outcome->reached || reached;
               if (--outcome->open == 0 && !alive.expired()) {
                 OnRoundEnded(outcome->reached);
               }
             });
  }
}

void PathService::OnRoundEnded(bool reached) {
  bool was_lost = is_lost();
  monitor_.OnRoundEnded(reached, EventLoop::Now());
  OnStateMayHaveChanged(was_lost);
  Update();
}

void PathService::OnStateMayHaveChanged(bool was_lost) {
  if (was_lost == is_lost()) {
    return;
  }
  if (is_lost()) {
    LogWarning("path", "Lost the path to all upstreams, relay={}.",
               HasRelay() ? 1 : 0);
    TellPeers();
    on_lost_();
  } else {
    LogInfo("path", "Regained the path to upstreams.");
    TellPeers();
  }
}

void PathService::TellPeers() {
  schema::PeerItem item;
  item.mutable_path_news()->set_lost(is_lost());
  peers_->Broadcast(item);
  if (is_lost()) {
    news_timer_.Start(kNewsInterval, [this] { TellPeers(); });
  }
}

void PathService::OnNews(const MachineId& from, bool is_lost) {
  if (is_lost) {
    lost_peers_[from] = EventLoop::Now() + kNewsLifetime;
  } else {
    lost_peers_.erase(from);
  }
}

}  // namespace bilberrypitch
