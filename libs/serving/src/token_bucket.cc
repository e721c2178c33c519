// Refills the bucket as time passes and takes tokens from it.
#include "serving/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

// The longest time that is reported; also reported if the rate is zero.
constexpr double kMaxWaitSeconds = 30;
constexpr double kMsPerSecond = 1000;

// Another instance may state a cost that is none.
bool IsCost(double cost) { return std::isfinite(cost) && cost >= 0; }

}  // namespace

void TokenBucket::SetLimit(const RateLimit& limit, Millis now) {
  if (!started_) {
    started_ = true;
    refilled_at_ = now;
  }
  Refill(now);
  limit_ = limit;
  level_ = std::min(level_, limit_.burst);
}

void TokenBucket::Refill(Millis now) {
  double seconds = std::max(0.0, (now - refilled_at_).seconds());
  refilled_at_ = now;
  level_ = std::min(level_ + limit_.rate_per_s * seconds, limit_.burst);
}

double TokenBucket::RequiredLevel(double cost) const {
  return std::min(cost, limit_.burst);
}

bool TokenBucket::TryAcquire(double cost, Millis now) {
  Refill(now);
  if (!IsCost(cost) || limit_.burst <= 0 || level_ < RequiredLevel(cost)) {
    return false;
  }
  level_ -= cost;
  return true;
}

void TokenBucket::Refund(double cost, Millis now) {
  Refill(now);
  level_ = std::min(level_ + cost, limit_.burst);
}

Millis TokenBucket::TimeUntilAvailable(double cost, Millis now) {
  Refill(now);
  if (!IsCost(cost)) {
    return Millis(static_cast<int64_t>(kMaxWaitSeconds * kMsPerSecond));
  }
  double missing = RequiredLevel(cost) - level_;
  if (missing <= 0 && limit_.burst > 0) {
    return Millis(0);
  }
  double seconds =
      limit_.rate_per_s > 0 ? missing / limit_.rate_per_s : kMaxWaitSeconds;
  seconds = std::min(seconds, kMaxWaitSeconds);
  return Millis(static_cast<int64_t>(seconds * kMsPerSecond) + 1);
}

double TokenBucket::Level(Millis now) {
  Refill(now);
  return level_;
}

}  // namespace bilberrypitch
