// Tracks until when the local configuration is known to be the current one.
//
// A request with an API key may be served only if the configuration was
// confirmed to be current within the key revocation bound; otherwise a revoked
// key could still be accepted. A confirmation is a response of the store to a
// query, or a report of a peer together with its age. All times are on the
// clock that includes suspension, so a process that was paused finds its
// configuration too old.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

class Freshness {
 public:
  // `bound` is the longest time from the revocation of a key until it stops
  // working; zero: no bound.
  explicit Freshness(Millis bound) : bound_(bound) {}

  // The local configuration was the current one at `at`.
  void OnConfirmed(Millis at);
  // Returns whether a request may be sent to an upstream based on the local
  // configuration.
  bool MayServe(Millis now) const;
  // Time since the last confirmation.
  Millis Age(Millis now) const { return now - confirmed_at_; }
  bool ever_confirmed() const { return confirmed_; }

 private:
  const Millis bound_;
  bool confirmed_ = false;
  Millis confirmed_at_;
};

}  // namespace bilberrypitch
