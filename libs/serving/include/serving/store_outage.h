// Tells an outage of the store from a cut between the store and this instance.
//
// Records whose leases expired in an outage return soon after it, so they are
// waited for. If only this instance was cut off, the store has kept all that
// was renewed, and what is missing is gone. Other instances know: the views of
// those that saw no outage were confirmed by the store at shorter intervals
// than the time for which this instance got no response.
#pragma once

#include <cstdint>
#include <deque>

#include "base/strong.h"

namespace bilberrypitch {

// Not thread-safe. All times are on the clock that includes suspension.
class StoreOutage {
 public:
  enum class Verdict : uint8_t {
    kNobodyAsked,  // There is no other instance.
    kAsked,
    kOutage,
    kRestored,  // The store came back from a copy, which is an outage, too.
    kCutOff,
  };

  // The store has confirmed the view as of `at`, in ascending order.
  void OnConfirmed(Millis at);
  void OnFailure(Millis now);
  // So many calls have failed that the store counts as unavailable.
  void OnLost() { verdict_ = Verdict::kNobodyAsked; }
  // A call succeeded.
  void OnSuccess() { failing_ = false; }
  // An instance that was not cut off tells the verdict.
  void Judge(Verdict verdict) { verdict_ = verdict; }
  // Another instance's LongestGap; zero says nothing.
  void OnPeerGap(Millis longest_gap);

  Verdict verdict() const { return verdict_; }
  // The longest time lately in which the store did not confirm this instance's
  // view; zero: it has not been followed for long enough.
  Millis LongestGap(Millis now) const;

 private:
  struct Gap {
    Millis end;
    Millis length;
  };

  bool was_confirmed_ = false;
  Millis followed_since_;
  Millis confirmed_at_;
  std::deque<Gap> gaps_;  // Those that matter, oldest first.
  bool failing_ = false;
  Millis first_failure_at_;
  Millis last_failure_at_;
  Verdict verdict_ = Verdict::kNobodyAsked;
};

}  // namespace bilberrypitch
