// Accounts of workspaces.
#include "serving/rate_limiter.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// The keeper gives up an instance earlier than the instance the keeper.
constexpr Millis kKeeperGivesUp{1100};
constexpr Millis kInstanceGivesUp{1500};
constexpr size_t kAnswersKept = 16;
// Of the margin, for the keeper's burst and for the instances' own parts.
constexpr double kKeeperPart = 0.25;
constexpr double kAlonePart = 0.35;

}  // namespace

void RateLimiter::SetWorkspaces(const std::vector<Workspace>& workspaces,
                                Millis now) {
  for (const Workspace& it : workspaces) {
    Account& account = accounts_[it.id];
    account.limited = it.rate_per_s > 0;
    account.limit = {it.rate_per_s, it.burst};
    double window = it.rate_per_s * margin_.window_s + it.burst;
    double slack = it.charges_tokens ? margin_.extra_tokens : 0;
    account.extra = margin_.excess_ratio * window + slack;
    Apply(&account, now);
  }
}

void RateLimiter::SetMembers(const std::vector<MachineId>& members,
                             Millis now) {
  members_ = members;
  std::erase_if(heard_, [&](const auto& it) {
    return std::find(members.begin(), members.end(), it.first) == members.end();
  });
  for (auto& [id, account] : accounts_) {
    Apply(&account, now);
  }
}

void RateLimiter::SetOwnedBySelf(const WorkspaceId& workspace, bool self_keeps,
                                 Millis now) {
  Account& account = accounts_[workspace];
  if (account.kept == self_keeps) {
    return;
  }
  account.kept = self_keeps;
  account.whole = TokenBucket();
  Apply(&account, now);
}

void RateLimiter::OnMessageFrom(const MachineId& peer, Millis now) {
  heard_[peer] = now;
}

bool RateLimiter::Owns(const WorkspaceId& workspace) const {
  auto it = accounts_.find(workspace);
  return it != accounts_.end() && it->second.kept;
}

bool RateLimiter::IsReachable(const MachineId& keeper, Millis now) const {
  auto it = heard_.find(keeper);
  return it != heard_.end() && now - it->second < kInstanceGivesUp;
}

size_t RateLimiter::Heard(Millis now) const {
  size_t n = 1;  // This instance.
  for (const auto& [machine, at] : heard_) {
    n += machine != self_ && now - at < kKeeperGivesUp ? 1 : 0;
  }
  return n;
}

void RateLimiter::Apply(Account* account, Millis now) {
  double members = static_cast<double>(std::max<size_t>(1, members_.size()));
  double part = std::min(1.0, static_cast<double>(Heard(now)) / members);
  RateLimit whole = account->limit;
  whole.rate_per_s *= part;
  whole.burst = whole.burst * part + kKeeperPart * account->extra;
  account->whole.SetLimit(whole, now);
  // While the keeper is heard a short silence is bridged from the margin.
  double extra = kAlonePart * account->extra / members;
  RateLimit alone{extra / margin_.window_s, extra};
  if (account->alone_on) {
    alone.rate_per_s += account->limit.rate_per_s / members;
    alone.burst += account->limit.burst / members;
  }
  account->alone.SetLimit(alone, now);
}

RateDecision RateLimiter::AcquireAsOwner(const MachineId& asker, uint64_t nonce,
                                         const WorkspaceId& workspace,
                                         double cost, Millis now) {
  std::vector<Answered>& answered = answered_[asker];
  for (const Answered& it : answered) {
    if (it.nonce == nonce && nonce != 0) {
      return it.verdict;
    }
  }
  Account& account = accounts_[workspace];
  RateDecision verdict;
  if (!account.limited) {
    verdict.granted = true;
  } else {
    Apply(&account, now);
    verdict.granted = account.whole.TryAcquire(cost, now);
    verdict.wait = account.whole.TimeUntilAvailable(cost, now);
  }
  answered.push_back({nonce, verdict});
  if (answered.size() > kAnswersKept) {
    answered.erase(answered.begin());
  }
  return verdict;
}

RateDecision RateLimiter::AcquireFromLocalShare(const WorkspaceId& workspace,
                                                const MachineId& keeper,
                                                double cost, Millis now) {
  Account& account = accounts_[workspace];
  if (!account.limited) {
    return {true, Millis(0)};
  }
  account.alone_on = !IsReachable(keeper, now);
  Apply(&account, now);
  RateDecision verdict;
  verdict.granted = account.alone.TryAcquire(cost, now);
  verdict.wait = account.alone.TimeUntilAvailable(cost, now);
  return verdict;
}

}  // namespace bilberrypitch
