// Until when the configuration at hand is known to be the current one.
//
// A request with a key may be served only while the configuration was known to
// be current less than the withdrawal bound ago. What proves it is an answer of
// the store that was asked for, or a peer's word with its age. All times are on
// the clock that counts suspension, so a process that was paused finds its
// knowledge too old.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

class Freshness {
 public:
  // `bound` is the promised time from withdrawal to effect; zero: none.
  explicit Freshness(Millis bound) : bound_(bound) {}

  // The configuration at hand was the current one at `at`.
  void OnConfirmed(Millis at);
  // Whether a request may still be sent to an upstream on it.
  bool MayServe(Millis now) const;
  // How old the knowledge is.
  Millis Age(Millis now) const { return now - confirmed_at_; }
  bool ever_confirmed() const { return confirmed_; }

 private:
  const Millis bound_;
  bool confirmed_ = false;
  Millis confirmed_at_;
};

}  // namespace bilberrypitch
