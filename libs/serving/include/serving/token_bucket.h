// A bucket of tokens that fills at a rate up to a burst.
//
// It starts empty, so that an instance that was restarted gives nothing away
// that its predecessor gave already.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

struct RateLimit {
  double rate_per_s = 0;
  double burst = 0;
  auto operator<=>(const RateLimit&) const = default;
};

class TokenBucket {
 public:
  // What stands above a lower burst is dropped at once.
  void SetLimit(const RateLimit& limit, Millis now);
  bool TryAcquire(double cost, Millis now);
  // Gives back what was taken and not used.
  void Refund(double cost, Millis now);
  // How long until a request of that cost is let through; zero: now.
  Millis TimeUntilAvailable(double cost, Millis now);
  double Level(Millis now);
  const RateLimit& limit() const { return limit_; }

 private:
  void Refill(Millis now);
  // A cost above the burst needs a full bucket, and leaves a debt.
  double Needed(double cost) const;

  RateLimit limit_;
  bool started_ = false;
  double level_ = 0;  // At most the burst; below zero: a debt.
  Millis refilled_at_;
};

}  // namespace bilberrypitch
