// Implements the estimate of the wait for permits.
#include "serving/permit_wait_estimate.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr double kSmoothing = 0.2;  // Weight of a new statement.

}  // namespace

void PermitWaitEstimate::OnStated(Millis wait, Millis now) {
  double expected_ms = ExpectedMs(now);
  double wait_ms = static_cast<double>(wait.count());
  average_ms_ = expected_ms + kSmoothing * (wait_ms - expected_ms);
  stated_at_ = now;
}

double PermitWaitEstimate::ExpectedMs(Millis now) const {
  Millis elapsed = now - stated_at_;
  return std::max(0.0, average_ms_ - static_cast<double>(elapsed.count()));
}

}  // namespace bilberrypitch
