// The health of one upstream.
#include "dispatch/upstream_health.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr Millis kFirstBackoff{200};
constexpr Millis kMostBackoff{5000};
constexpr uint32_t kRampEnd = 1024;

}  // namespace

void UpstreamHealth::OnConnectFailure(Millis now) {
  if (down_ && now < retry_at_) {
    return;  // One of several that failed together.
  }
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMostBackoff);
  retry_at_ = now + backoff_;
  down_ = true;
  ramp_ = 1;
}

void UpstreamHealth::OnAnswer(Millis now) {
  (void)now;
  if (down_) {
    down_ = false;
    backoff_ = Millis();
    ramp_ = 1;
    return;
  }
  if (ramp_ > 0) {
    ramp_ = ramp_ * 2 >= kRampEnd ? 0 : ramp_ * 2;
  }
}

uint32_t UpstreamHealth::Allowed(uint32_t most, Millis now) const {
  if (IsDown(now)) {
    return 0;
  }
  if (down_) {
    return 1;  // One request tries it.
  }
  return ramp_ == 0 ? most : std::min(most, ramp_);
}

}  // namespace bilberrypitch
