// A token bucket: fills at a constant rate up to a burst limit.
//
// It starts empty, so that a restarted instance does not hand out tokens that
// its predecessor has already handed out.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

struct RateLimit {
  double rate_per_s = 0;  // Tokens per second.
  double burst = 0;       // Most tokens that the bucket holds.
  auto operator<=>(const RateLimit&) const = default;
};

// Not thread-safe.
class TokenBucket {
 public:
  // If the burst is lowered, tokens above it are dropped at once.
  void SetLimit(const RateLimit& limit, Millis now);
  // Takes `cost` tokens, or returns false if there are too few.
  bool TryAcquire(double cost, Millis now);
  // Gives back tokens that were taken but not used.
  void Refund(double cost, Millis now);
  // Returns the time until TryAcquire(cost) could succeed, up to a maximum;
  // zero: now.
  Millis TimeUntilAvailable(double cost, Millis now);
  // Current number of tokens.
  double Level(Millis now);
  const RateLimit& limit() const { return limit_; }

 private:
  void Refill(Millis now);
  // Tokens that have to be present to take `cost`. A cost above the burst needs
  // a full bucket and leaves a debt.
  double RequiredLevel(double cost) const;

  RateLimit limit_;
  bool started_ = false;  // A limit was set.
  double level_ = 0;      // At most the burst; negative: a debt.
  Millis refilled_at_;
};

}  // namespace bilberrypitch
