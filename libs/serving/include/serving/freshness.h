// Tracks until when the local configuration is known to be the current one, and
// decides what may be done by it.
//
// A request may be refused because the configuration has no such route or key
// only if it was confirmed within the bound in which a new version has to be in
// force: otherwise a version that has the route may be in force elsewhere. The
// caller is then told to come back. A process that starts while the store is
// back from an older copy can't know whether the store lacks a version that was
// in force; until the operator has written again, it does not refuse by the
// copy's.
//
// A request with an API key may be served only if the configuration was
// confirmed to be current within the key revocation bound; otherwise a revoked
// key could still be accepted. A confirmation is a response of the store to a
// query, or a report of a peer together with its age. All times are on the
// clock that includes suspension, so a process that was paused finds its
// configuration too old.
#pragma once

#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

class Freshness {
 public:
  // `bound` is the longest time from the revocation of a key until it stops
  // working; zero: no bound.
  // `refusal_bound`: the longest time until a new version is in force; zero: no
  // bound.
  explicit Freshness(Millis bound, Millis refusal_bound = Millis(0))
      : bound_(bound), refusal_bound_(refusal_bound) {}

  // The local configuration was the current one at `at`.
  void OnConfirmed(Millis at);
  // Returns whether a request may be sent to an upstream based on the local
  // configuration.
  bool MayServe(Millis now) const;
  // This process has started with this version, of a store that came back from
  // a copy, and nobody is known to have a newer one.
  void OnStartedFromCopy(int64_t version, Millis now);
  // Returns whether a request may be refused because the local configuration,
  // of this version, lacks its route or key.
  bool MayRefuse(int64_t version, Millis now) const;
  // Time since the last confirmation.
  Millis Age(Millis now) const { return now - confirmed_at_; }
  bool ever_confirmed() const { return confirmed_; }

 private:
  const Millis bound_;
  const Millis refusal_bound_;
  int64_t version_of_copy_ = 0;  // 0: did not start from a copy.
  Millis started_from_copy_at_;
  bool confirmed_ = false;
  Millis confirmed_at_;
};

}  // namespace bilberrypitch
