// Token buckets of the workspaces, as the owner and as local shares.
#include "serving/rate_limiter.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// Time after the last message until the other side counts as unreachable. The
// owner must drop an instance before that instance falls back to its local
// share, so that the share is not handed out twice.
constexpr Millis kOwnerDropsInstanceAfter{1100};
constexpr Millis kInstanceDropsOwnerAfter{1500};
constexpr size_t kMaxPastDecisions = 16;
// Shares of the tolerance that are used for the owner's burst and for the local
// shares of the instances.
constexpr double kOwnerToleranceShare = 0.25;
constexpr double kLocalToleranceShare = 0.35;

}  // namespace

void RateLimiter::SetWorkspaces(const std::vector<Workspace>& workspaces,
                                Millis now) {
  for (const Workspace& workspace : workspaces) {
    Account& account = accounts_[workspace.id];
    account.limited = workspace.rate_per_s > 0;
    account.limit = {workspace.rate_per_s, workspace.burst};
    double tokens_per_window =
        workspace.rate_per_s * tolerance_.window_s + workspace.burst;
    double extra_tokens =
        workspace.charges_tokens ? tolerance_.extra_tokens : 0;
    account.tolerance =
        tolerance_.excess_ratio * tokens_per_window + extra_tokens;
    UpdateLimits(&account, now);
  }
}

void RateLimiter::SetMembers(const std::vector<MachineId>& members,
                             Millis now) {
  members_ = members;
  std::erase_if(last_message_at_, [&](const auto& entry) {
    return std::find(members.begin(), members.end(), entry.first) ==
           members.end();
  });
  for (auto& [id, account] : accounts_) {
    UpdateLimits(&account, now);
  }
}

void RateLimiter::SetOwnedBySelf(const WorkspaceId& workspace,
                                 bool owned_by_self, Millis now) {
  Account& account = accounts_[workspace];
  if (account.owned_by_self == owned_by_self) {
    return;
  }
  account.owned_by_self = owned_by_self;
  account.owner_bucket = TokenBucket();
  UpdateLimits(&account, now);
}

void RateLimiter::OnMessageFrom(const MachineId& peer, Millis now) {
  last_message_at_[peer] = now;
}

bool RateLimiter::Owns(const WorkspaceId& workspace) const {
  auto it = accounts_.find(workspace);
  return it != accounts_.end() && it->second.owned_by_self;
}

bool RateLimiter::IsReachable(const MachineId& owner, Millis now) const {
  auto it = last_message_at_.find(owner);
  return it != last_message_at_.end() &&
         now - it->second < kInstanceDropsOwnerAfter;
}

size_t RateLimiter::ReachableMembers(Millis now) const {
  size_t reachable = 1;  // This instance.
  for (const auto& [machine, at] : last_message_at_) {
    reachable +=
        machine != self_ && now - at < kOwnerDropsInstanceAfter ? 1 : 0;
  }
  return reachable;
}

void RateLimiter::UpdateLimits(Account* account, Millis now) {
  double members = static_cast<double>(std::max<size_t>(1, members_.size()));
  double reachable_share =
      std::min(1.0, static_cast<double>(ReachableMembers(now)) / members);
  RateLimit owner_limit = account->limit;
  owner_limit.rate_per_s *= reachable_share;
  owner_limit.burst = owner_limit.burst * reachable_share +
                      kOwnerToleranceShare * account->tolerance;
  account->owner_bucket.SetLimit(owner_limit, now);
  // While the owner counts as reachable, a short failure to respond is bridged
  // from the tolerance alone; the share of the rate is added once the owner is
  // unreachable.
  double local_tolerance = kLocalToleranceShare * account->tolerance / members;
  RateLimit local_limit{local_tolerance / tolerance_.window_s, local_tolerance};
  if (account->local_share_active) {
    local_limit.rate_per_s += account->limit.rate_per_s / members;
    local_limit.burst += account->limit.burst / members;
  }
  account->local_bucket.SetLimit(local_limit, now);
}

RateDecision RateLimiter::AcquireAsOwner(const MachineId& requester,
                                         uint64_t nonce,
                                         const WorkspaceId& workspace,
                                         double cost, Millis now) {
  std::vector<PastDecision>& past_decisions = past_decisions_[requester];
  for (const PastDecision& past : past_decisions) {
    if (past.nonce == nonce && nonce != 0) {
      return past.decision;
    }
  }
  Account& account = accounts_[workspace];
  RateDecision decision;
  if (!account.limited) {
    decision.granted = true;
  } else {
    UpdateLimits(&account, now);
    decision.granted = account.owner_bucket.TryAcquire(cost, now);
    decision.wait = account.owner_bucket.TimeUntilAvailable(cost, now);
  }
  past_decisions.push_back({nonce, decision});
  if (past_decisions.size() > kMaxPastDecisions) {
    past_decisions.erase(past_decisions.begin());
  }
  return decision;
}

RateDecision RateLimiter::AcquireFromLocalShare(const WorkspaceId& workspace,
                                                const MachineId& owner,
                                                double cost, Millis now) {
  Account& account = accounts_[workspace];
  if (!account.limited) {
    return {true, Millis(0)};
  }
  account.local_share_active = !IsReachable(owner, now);
  UpdateLimits(&account, now);
  RateDecision decision;
  decision.granted = account.local_bucket.TryAcquire(cost, now);
  decision.wait = account.local_bucket.TimeUntilAvailable(cost, now);
  return decision;
}

}  // namespace bilberrypitch
