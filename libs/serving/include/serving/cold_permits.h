// Permits for cold upstreams.
//
// The two issuers of an upstream and the instances that reach neither are three
// sources, as for a stated rate limit. The bound of a cold upstream holds in
// every second, so what they give out together stays below it:
//
// - Turns of one issuer are at least the inverse of its rate apart. Nothing is
//   saved up, and an unused permit is not given out again.
// - A permit has to be used shortly after its turn.
// - An instance issues only by a recent view of the members, and only if its
//   own record is certain to be among them. It begins when all whose view is
//   older have stopped.
//
// No I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "serving/permit_issuer.h"

namespace bilberrypitch {

// The rate of the first issuer for an upstream that can handle `cold_per_s`. In
// no second may the upstream receive more than that times `over`, plus `slack`.
double ColdPermitRate(double cold_per_s, double over, double slack);

// A permit may be used for so long after its turn.
constexpr Millis kColdPermitLifetime{400};
// The turn of a permit is no further ahead.
constexpr Millis kColdPermitHorizon{2000};

enum class IssuerRole : uint8_t { kNone, kFirst, kSecond };

// One instance as an issuer.
class ColdPermitIssuer {
 public:
  explicit ColdPermitIssuer(Millis now)
      : members_changed_at_(now), silent_until_(now + kSilence) {}

  // The view of the members was current at `confirmed_at`, and this instance's
  // own record is certain to be in the store until `member_until`.
  void OnView(Millis confirmed_at, Millis member_until, Millis now);
  void OnMembersChanged(Millis now);
  // `role`: by the present view. `rate_per_s`: ColdPermitRate. Nothing: this
  // instance must not issue, so the question gets no answer.
  std::optional<Permit> Issue(const UpstreamId& upstream, IssuerRole role,
                              double rate_per_s, Millis max_wait, Millis now);

 private:
  // A view that is older is no base for a decision. Views are usually confirmed
  // within two seconds.
  static constexpr Millis kMaxViewAge{4000};
  // After this, all whose view was older have stopped, and the turns that they
  // have given out are over.
  static constexpr Millis kSilence =
      kMaxViewAge + kColdPermitHorizon + kColdPermitLifetime;

  struct Issuing {
    IssuerRole role = IssuerRole::kNone;
    Millis checked_at;   // The role.
    Millis active_from;  // Issues at the share of its role, or of the second.
    Millis full_from;    // Issues at the share of the first.
    Millis last_turn;
  };

  bool IsEntitled(Millis now) const {
    return now < confirmed_at_ + kMaxViewAge && now < member_until_;
  }
  void UpdateRole(Issuing* issuing, IssuerRole role, Millis now) const;
  void DropUnused(Millis now);

  Millis confirmed_at_;
  Millis member_until_;
  Millis members_changed_at_;
  Millis silent_until_;  // Since it was not entitled to issue.
  std::map<UpstreamId, Issuing> issuing_;
};

// The share of one instance that reaches no issuer. Each has a time of its own
// at which its turns begin, so that they are spread when many lose the issuers.
// It begins anew when the members have changed: instances that start together
// see only a few others at first, and each of them would be among the first.
class ColdOwnShare {
 public:
  // `rank`: of this instance among the `members`, from 0.
  Permit Issue(const UpstreamId& upstream, double rate_per_s, size_t rank,
               size_t members, Millis max_wait, Millis now);

 private:
  struct Turns {
    Millis next;
    Millis asked_at;
    size_t rank = 0;
    size_t members = 0;
  };
  std::map<UpstreamId, Turns> turns_;
};

}  // namespace bilberrypitch
