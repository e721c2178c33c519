// Spreads the requests of all instances to an upstream that states a rate
// limit.
//
// For each upstream one instance issues permits, and a second one takes its
// place for those that can't reach it. Both follow from the members and the id
// of the upstream, so that no messages are needed to agree on them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// A request may be sent once `wait` has passed; if it is not granted, a permit
// will be free after about that time.
struct Permit {
  bool granted = false;
  Millis wait;
  bool by_first_issuer = true;  // Otherwise it is not returned if not used.
  // It may be used for so long after its turn, only for a cold upstream; zero:
  // at any time, only for an upstream that is not cold.
  Millis lifetime = Millis(0);
};

// The two machines that issue permits for the upstream, the first one by
// preference; fewer if there are fewer members.
std::vector<MachineId> PermitIssuers(const UpstreamId& upstream,
                                     const std::vector<MachineId>& members);

// The share of the limit at which the second issuer issues, and a new first one
// while its predecessor may still act. Together they stay below the excess that
// upstreams bear.
constexpr double kSubstituteShare = 0.5;
// The share that all instances together take that reach neither issuer.
constexpr double kIsolatedShare = 0.25;

// Requests go to an upstream at least at this rate, so that the end of its
// limit is noticed.
constexpr double kMinRatePerS = 0.1;

// Token buckets by upstream, in which a permit for later leaves a debt.
// State machine without I/O. Not thread-safe.
class PermitIssuer {
 public:
  // A new bucket begins with `start_level`, and the time for which nobody asked
  // counts up to `longest_credit`.
  explicit PermitIssuer(double start_level = 0,
                        Millis longest_credit = Millis(60 * 1000))
      : start_level_(start_level), longest_credit_(longest_credit) {}

  // The members have changed, so that this instance may become an issuer while
  // another one still acts as it.
  void OnMembersChanged(Millis now) { members_changed_at_ = now; }
  // Issues a permit if its turn is within `max_wait`. `share`: part of the
  // upstream's limit that this issuer gives out.
  Permit Issue(const UpstreamId& upstream, double limit_per_s, double share,
               Millis max_wait, Millis now);
  // A permit was not used.
  void Return(const UpstreamId& upstream);
  size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    double level = 0;     // Permits that may be used now; negative: a debt.
    Millis starts_until;  // Until then it fills at kSubstituteShare.
    Millis filled_at;
  };

  void DropUnused(Millis now);

  const double start_level_;
  const Millis longest_credit_;
  std::optional<Millis> members_changed_at_;
  std::map<UpstreamId, Bucket> buckets_;
};

}  // namespace bilberrypitch
