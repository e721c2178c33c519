// The rate of permits for cold upstreams, and their turns.
#include "serving/cold_permits.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

constexpr double kMsPerS = 1000;
// Of the rate of the first issuer: both issuers, each 1.4 times in a second
// since permits of 0.4 s before may be used in it, and the instances that reach
// neither with as much again, since their turns are not coordinated.
constexpr double kRatesInSecond =
    (1 + kSubstituteShare + kIsolatedShare) * 1.4 + kIsolatedShare;
// One permit of each issuer that a second begins or ends with, and three of the
// instances that reach neither.
constexpr double kPermitsBeside = 5;
// The role is not known to have stayed the same if it was checked longer ago
// and the members have changed since. Shorter than any issuer is silent.
constexpr Millis kRoleGap{4000};
// An instance that has not asked for longer begins its own share anew.
constexpr Millis kIdleTime{2000};
constexpr Millis kUnusedTime{60 * 1000};
constexpr size_t kDropThreshold = 256;

Millis Interval(double rate_per_s) {
  return Millis(static_cast<int64_t>(
      std::ceil(kMsPerS / std::max(rate_per_s, kMinRatePerS / kMsPerS))));
}

}  // namespace

double ColdPermitRate(double cold_per_s, double over, double slack) {
  double rate = (cold_per_s * over + slack - kPermitsBeside) / kRatesInSecond;
  return std::max(kMinRatePerS, std::min(rate, cold_per_s));
}

void ColdPermitIssuer::OnView(Millis confirmed_at, Millis member_until,
                              Millis now) {
  bool was_entitled = IsEntitled(now);
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  member_until_ = member_until;
  if (!was_entitled) {
    silent_until_ = now + kSilence;
  }
}

void ColdPermitIssuer::OnMembersChanged(Millis now) {
  members_changed_at_ = now;
}

void ColdPermitIssuer::UpdateRole(Issuing* issuing, IssuerRole role,
                                  Millis now) const {
  const Millis from = members_changed_at_ + kSilence;
  bool unchecked = issuing->checked_at < members_changed_at_ &&
                   now - issuing->checked_at > kRoleGap;
  if (issuing->role == IssuerRole::kNone || unchecked) {
    issuing->active_from = from;
    issuing->full_from = from;
  } else if (role == IssuerRole::kFirst && issuing->role != role) {
    issuing->full_from = from;
  }
  issuing->role = role;
  issuing->checked_at = now;
}

std::optional<Permit> ColdPermitIssuer::Issue(const UpstreamId& upstream,
                                              IssuerRole role,
                                              double rate_per_s,
                                              Millis max_wait, Millis now) {
  DropUnused(now);
  Issuing& issuing = issuing_[upstream];
  UpdateRole(&issuing, role, now);
  bool is_silent = now < silent_until_ || now < issuing.active_from;
  if (role == IssuerRole::kNone || is_silent || !IsEntitled(now)) {
    return std::nullopt;
  }
  bool full = role == IssuerRole::kFirst && now >= issuing.full_from;
  Millis interval = Interval(rate_per_s * (full ? 1 : kSubstituteShare));
  Millis turn = std::max(now, issuing.last_turn + interval);
  Permit permit;
  permit.wait = turn - now;
  permit.by_first_issuer = false;  // Not to be returned.
  permit.granted = permit.wait <= std::min(max_wait, kColdPermitHorizon);
  issuing.last_turn = permit.granted ? turn : issuing.last_turn;
  return permit;
}

void ColdPermitIssuer::DropUnused(Millis now) {
  if (issuing_.size() >= kDropThreshold) {
    std::erase_if(issuing_, [now](const auto& entry) {
      return now - entry.second.checked_at > kUnusedTime;
    });
  }
}

Permit ColdOwnShare::Issue(const UpstreamId& upstream, double rate_per_s,
                           size_t rank, size_t members, Millis max_wait,
                           Millis now) {
  if (turns_.size() >= kDropThreshold) {
    std::erase_if(turns_, [now](const auto& entry) {
      const Turns& turns = entry.second;
      return now > turns.next && now - turns.asked_at > kUnusedTime;
    });
  }
  auto n = static_cast<double>(std::max<size_t>(1, members));
  Millis interval = Interval(rate_per_s * kIsolatedShare / n);
  auto [it, added] = turns_.try_emplace(upstream);
  Turns& turns = it->second;
  bool is_changed = rank != turns.rank || members != turns.members;
  if (added || is_changed || now - turns.asked_at > kIdleTime) {
    double part = static_cast<double>(rank + 1) / n;
    Millis begin(
        static_cast<int64_t>(part * static_cast<double>(interval.count())));
    turns.next = std::max(turns.next, now + begin);
  }
  turns.asked_at = now;
  turns.rank = rank;
  turns.members = members;
  Millis turn = std::max(now, turns.next);
  Permit permit;
  permit.wait = turn - now;
  permit.by_first_issuer = false;
  permit.granted = permit.wait <= std::min(max_wait, kColdPermitHorizon);
  turns.next = permit.granted ? turn + interval : turns.next;
  return permit;
}

}  // namespace bilberrypitch
