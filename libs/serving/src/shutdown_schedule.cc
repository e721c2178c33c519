// Times of a stop, and which requests still fit into it.
#include "serving/shutdown_schedule.h"

#include <algorithm>

#include "serving/config.h"

namespace bilberrypitch {
namespace {

// The load balancer checks readiness once a second and removes an instance
// after two failed checks.
constexpr Millis kBalancerRemovalDelay{2600};
// Open requests are ended this long before the platform kills the process, or
// in the last eighth of a short grace.
constexpr Millis kMaxEndMargin{700};
constexpr int64_t kEndMarginDivisor = 8;
// A healthy upstream responds within this multiple of the route's latency
// target.
constexpr int64_t kSlowResponseFactor = 3;

// A request that is cut may be repeated by its caller if it is idempotent, and
// a stream may be resumed; others are lost, so more time is kept for them.
Millis ExpectedDuration(const Route& route) {
  bool repeatable = route.IsIdempotent() || route.resumable;
  return route.latency_target * (repeatable ? 1 : kSlowResponseFactor);
}

Millis EndMargin(Millis grace) {
  return std::min(kMaxEndMargin, Millis(grace.count() / kEndMarginDivisor));
}

}  // namespace

bool ShutdownSchedule::IsOutOfRotation(Millis now) const {
  return started() && now - *started_at_ >= kBalancerRemovalDelay;
}

Millis ShutdownSchedule::requests_end_at() const {
  return *started_at_ + grace_ - EndMargin(grace_);
}

Millis ShutdownSchedule::process_ends_at() const {
  return *started_at_ + grace_ - Millis(EndMargin(grace_).count() / 2);
}

bool ShutdownSchedule::MaySend(const Route& route, Millis arrived_at,
                               Millis deadline, Millis now) const {
  if (!started()) {
    return true;
  }
  if (now >= requests_end_at()) {
    return false;
  }
  if (deadline < requests_end_at()) {
    return true;
  }
  return !IsOutOfRotation(arrived_at) &&
         now + ExpectedDuration(route) < requests_end_at();
}

}  // namespace bilberrypitch
