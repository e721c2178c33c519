// Requests for rate tokens between the instances, and the heartbeats.
#include "gateway/rate_limit_service.h"

#include <set>

#include "base/hash.h"
#include "gateway/lease_manager.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/ownership.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kResponseTimeout{30};
constexpr int kMaxAttempts = 3;
constexpr Millis kHeartbeatPeriod{400};
// In the place of a time to wait: the owner hands out no tokens yet.
constexpr int64_t kOwnerWaits = -1;

}  // namespace

// A request to an owner that has no response yet.
struct RateLimitService::PendingRequest {
  explicit PendingRequest(EventLoop* loop) : timer(loop) {}
  WorkspaceId workspace;
  MachineId owner_machine;
  double cost = 0;
  int attempts = 0;
  std::function<void(RateDecision)> done;
  Timer timer;
};

RateLimitService::RateLimitService(EventLoop* loop, MachineId self,
                                   RateTolerance tolerance,
                                   Ownership* ownership,
                                   LeaseManager* lease_manager,
                                   PeerMessenger* peers)
    : loop_(loop),
      self_(self),
      ownership_(ownership),
      lease_manager_(lease_manager),
      peers_(peers),
      limiter_(self, tolerance),
      // Nonces start at a random value: the owner responds to a repeated nonce
      // with its earlier decision, so those of an earlier process of this
      // machine must not be reused.
      last_nonce_(StableHash(RandomHex(8)) >> 1),
      heartbeat_timer_(loop) {
  SendHeartbeats();
}

RateLimitService::~RateLimitService() = default;

void RateLimitService::SetWorkspaces(const std::vector<Workspace>& workspaces) {
  limiter_.SetWorkspaces(workspaces, EventLoop::Now());
  workspaces_.clear();
  for (const Workspace& workspace : workspaces) {
    workspaces_.push_back(workspace.id);
  }
}

void RateLimitService::OnMembersChanged() {
  std::vector<MachineId> members{self_};
  for (const auto& [machine, member] : peers_->peers()) {
    members.push_back(machine);
  }
  limiter_.SetMembers(members, EventLoop::Now());
}

void RateLimitService::OnOwnershipChanged(const WorkspaceId& workspace) {
  limiter_.SetOwnedBySelf(workspace,
                          ownership_->OwnedBySelf(RateResource(workspace)),
                          EventLoop::Now());
}

void RateLimitService::OnMessageFrom(const MachineId& peer) {
  limiter_.OnMessageFrom(peer, EventLoop::Now());
}

bool RateLimitService::CanActAsOwner(const WorkspaceId& workspace,
                                     Millis now) const {
  return limiter_.Owns(workspace) &&
         ownership_->FencingToken(RateResource(workspace), now) != 0 &&
         lease_manager_->IsValid(now);
}

bool RateLimitService::WaitsToAct(const WorkspaceId& workspace,
                                  Millis now) const {
  return limiter_.Owns(workspace) && lease_manager_->IsValid(now) &&
         now < ownership_->ActiveFrom(RateResource(workspace));
}

void RateLimitService::Acquire(const WorkspaceId& workspace, double cost,
                               std::function<void(RateDecision)> done) {
  Millis now = EventLoop::Now();
  if (CanActAsOwner(workspace, now)) {
    done(limiter_.AcquireAsOwner(self_, 0, workspace, cost, now));
    return;
  }
  const OwnerRecord* owner = ownership_->OwnerOf(RateResource(workspace));
  MachineId owner_machine = owner != nullptr ? owner->machine : MachineId();
  if (owner_machine.empty() || owner_machine == self_ ||
      !limiter_.IsReachable(owner_machine, now)) {
    done(limiter_.AcquireFromLocalShare(workspace, owner_machine, cost, now));
    return;
  }
  uint64_t nonce = ++last_nonce_;
  auto pending = std::make_unique<PendingRequest>(loop_);
  pending->workspace = workspace;
  pending->owner_machine = owner_machine;
  pending->cost = cost;
  pending->done = std::move(done);
  pending_requests_[nonce] = std::move(pending);
  SendRequest(nonce);
}

void RateLimitService::SendRequest(uint64_t nonce) {
  PendingRequest& pending = *pending_requests_.at(nonce);
  ++pending.attempts;
  schema::PeerItem item;
  item.mutable_rate_question()->set_nonce(nonce);
  item.mutable_rate_question()->set_workspace(pending.workspace.str());
  item.mutable_rate_question()->set_cost(pending.cost);
  peers_->Send(pending.owner_machine, std::move(item));
  pending.timer.Start(kResponseTimeout, [this, nonce] { OnTimeout(nonce); });
}

void RateLimitService::OnTimeout(uint64_t nonce) {
  if (pending_requests_.at(nonce)->attempts < kMaxAttempts) {
    SendRequest(nonce);
    return;
  }
  auto node = pending_requests_.extract(nonce);
  PendingRequest& pending = *node.mapped();
  pending.done(limiter_.AcquireFromLocalShare(pending.workspace,
                                              pending.owner_machine,
                                              pending.cost, EventLoop::Now()));
}

void RateLimitService::OnRequest(const MachineId& from,
                                 const schema::RateQuestion& request) {
  WorkspaceId workspace(request.workspace());
  Millis now = EventLoop::Now();
  schema::PeerItem item;
  item.mutable_rate_answer()->set_nonce(request.nonce());
  if (CanActAsOwner(workspace, now)) {
    RateDecision decision = limiter_.AcquireAsOwner(
        from, request.nonce(), workspace, request.cost(), now);
    item.mutable_rate_answer()->set_granted(decision.granted);
    item.mutable_rate_answer()->set_wait_ms(decision.wait.count());
  } else if (WaitsToAct(workspace, now)) {
    item.mutable_rate_answer()->set_wait_ms(kOwnerWaits);
  } else {
    return;  // The requester times out and uses its local share.
  }
  peers_->Send(from, std::move(item));
}

void RateLimitService::OnResponse(const schema::RateAnswer& response) {
  auto node = pending_requests_.extract(response.nonce());
  if (node.empty()) {
    return;
  }
  const PendingRequest& pending = *node.mapped();
  if (response.wait_ms() == kOwnerWaits) {
    // Nobody hands out tokens, so the whole local share may be used.
    pending.done(limiter_.AcquireFromLocalShare(
        pending.workspace, MachineId(), pending.cost, EventLoop::Now()));
    return;
  }
  RateDecision decision;
  decision.granted = response.granted();
  decision.wait = Millis(response.wait_ms());
  pending.done(decision);
}

void RateLimitService::SendHeartbeats() {
  std::set<MachineId> owners;
  bool owns_any = false;
  for (const WorkspaceId& workspace : workspaces_) {
    const OwnerRecord* owner = ownership_->OwnerOf(RateResource(workspace));
    if (owner != nullptr) {
      owns_any = owns_any || owner->machine == self_;
      owners.insert(owner->machine);
    }
  }
  for (const auto& [machine, member] : peers_->peers()) {
    if (owns_any || owners.count(machine) > 0) {
      schema::PeerItem item;
      item.mutable_alive();
      peers_->Send(machine, std::move(item));
    }
  }
  heartbeat_timer_.Start(kHeartbeatPeriod, [this] { SendHeartbeats(); });
}

}  // namespace bilberrypitch
