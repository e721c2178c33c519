// Implements the estimate of the wait for permits.
#include "serving/permit_wait_estimate.h"

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
  auto elapsed_ms = static_cast<double>((now - stated_at_).count());
  return elapsed_ms < average_ms_ ? average_ms_ : 0;
}

}  // namespace bilberrypitch
