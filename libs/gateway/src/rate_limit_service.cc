// Questions about rates between instances.
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

constexpr Millis kAskAgain{30};
constexpr int kAsks = 3;
constexpr Millis kHeartbeatPeriod{400};

}  // namespace

// A question that was asked and not answered yet.
struct RateLimitService::Open {
  explicit Open(EventLoop* loop) : timer(loop) {}
  WorkspaceId workspace;
  MachineId keeper;
  double cost = 0;
  int asked = 0;
  std::function<void(RateDecision)> done;
  Timer timer;
};

RateLimitService::RateLimitService(EventLoop* loop, MachineId self,
                                   RateTolerance margin, Ownership* ownership,
                                   LeaseManager* lease, PeerMessenger* peers)
    : loop_(loop),
      self_(self),
      ownership_(ownership),
      lease_(lease),
      peers_(peers),
      ledger_(self, margin),
      // Another process of this machine used other numbers.
      last_nonce_(StableHash(RandomHex(8)) >> 1),
      heartbeat_(loop) {
  Heartbeat();
}

RateLimitService::~RateLimitService() = default;

void RateLimitService::SetWorkspaces(const std::vector<Workspace>& workspaces) {
  ledger_.SetWorkspaces(workspaces, EventLoop::Now());
  workspaces_.clear();
  for (const Workspace& it : workspaces) {
    workspaces_.push_back(it.id);
  }
}

void RateLimitService::OnMembersChanged() {
  std::vector<MachineId> members{self_};
  for (const auto& [machine, member] : peers_->peers()) {
    members.push_back(machine);
  }
  ledger_.SetMembers(members, EventLoop::Now());
}

void RateLimitService::OnOwnershipChanged(const WorkspaceId& workspace) {
  ledger_.SetOwnedBySelf(workspace,
                         ownership_->OwnedBySelf(RateResource(workspace)),
                         EventLoop::Now());
}

void RateLimitService::OnMessageFrom(const MachineId& peer) {
  ledger_.OnMessageFrom(peer, EventLoop::Now());
}

bool RateLimitService::MayKeep(const WorkspaceId& workspace, Millis now) const {
  return ledger_.Owns(workspace) &&
         ownership_->FencingToken(RateResource(workspace), now) != 0 &&
         lease_->IsValid(now);
}

void RateLimitService::Acquire(const WorkspaceId& workspace, double cost,
                               std::function<void(RateDecision)> done) {
  Millis now = EventLoop::Now();
  if (MayKeep(workspace, now)) {
    done(ledger_.AcquireAsOwner(self_, 0, workspace, cost, now));
    return;
  }
  const OwnerRecord* owner = ownership_->OwnerOf(RateResource(workspace));
  MachineId keeper = owner != nullptr ? owner->machine : MachineId();
  if (keeper.empty() || keeper == self_ || !ledger_.IsReachable(keeper, now)) {
    done(ledger_.AcquireFromLocalShare(workspace, keeper, cost, now));
    return;
  }
  uint64_t nonce = ++last_nonce_;
  auto open = std::make_unique<Open>(loop_);
  open->workspace = workspace;
  open->keeper = keeper;
  open->cost = cost;
  open->done = std::move(done);
  open_[nonce] = std::move(open);
  Ask(nonce);
}

void RateLimitService::Ask(uint64_t nonce) {
  Open& it = *open_.at(nonce);
  ++it.asked;
  schema::PeerItem item;
  item.mutable_rate_question()->set_nonce(nonce);
  item.mutable_rate_question()->set_workspace(it.workspace.str());
  item.mutable_rate_question()->set_cost(it.cost);
  peers_->Send(it.keeper, std::move(item));
  it.timer.Start(kAskAgain, [this, nonce] { OnSilence(nonce); });
}

void RateLimitService::OnSilence(uint64_t nonce) {
  if (open_.at(nonce)->asked < kAsks) {
    Ask(nonce);
    return;
  }
  auto node = open_.extract(nonce);
  Open& it = *node.mapped();
  it.done(ledger_.AcquireFromLocalShare(it.workspace, it.keeper, it.cost,
                                        EventLoop::Now()));
}

void RateLimitService::OnRequest(const MachineId& from,
                                 const schema::RateQuestion& question) {
  WorkspaceId workspace(question.workspace());
  Millis now = EventLoop::Now();
  if (!MayKeep(workspace, now)) {
    return;  // The asker goes on alone.
  }
  RateDecision verdict = ledger_.AcquireAsOwner(
      from, question.nonce(), workspace, question.cost(), now);
  schema::PeerItem item;
  item.mutable_rate_answer()->set_nonce(question.nonce());
  item.mutable_rate_answer()->set_granted(verdict.granted);
  item.mutable_rate_answer()->set_wait_ms(verdict.wait.count());
  peers_->Send(from, std::move(item));
}

void RateLimitService::OnResponse(const schema::RateAnswer& answer) {
  auto node = open_.extract(answer.nonce());
  if (node.empty()) {
    return;
  }
  RateDecision verdict;
  verdict.granted = answer.granted();
  verdict.wait = Millis(answer.wait_ms());
  node.mapped()->done(verdict);
}

void RateLimitService::Heartbeat() {
  std::set<MachineId> to;
  bool keeps = false;
  for (const WorkspaceId& it : workspaces_) {
    const OwnerRecord* owner = ownership_->OwnerOf(RateResource(it));
    if (owner != nullptr) {
      keeps = keeps || owner->machine == self_;
      to.insert(owner->machine);
    }
  }
  for (const auto& [machine, member] : peers_->peers()) {
    if (keeps || to.count(machine) > 0) {
      schema::PeerItem item;
      item.mutable_alive();
      peers_->Send(machine, std::move(item));
    }
  }
  heartbeat_.Start(kHeartbeatPeriod, [this] { Heartbeat(); });
}

}  // namespace bilberrypitch
