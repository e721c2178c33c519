// Learns the time of a load from requests that arrived too early.
#include "serving/adapter_load_time.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

// A load is expected to take longer by this part than it is known to take;
// doubled with each further rejection after the same load.
constexpr double kRaise = 0.08;
// With each load that was in time, unless a request came too early within the
// hold time: another such request costs more than some milliseconds of waiting.
constexpr double kDecay = 0.99;
constexpr Millis kHoldTime{10 * 1000};
// Of the estimate, in milliseconds.
constexpr double kMinMs = 50;
constexpr double kMaxMs = 3000;

}  // namespace

Millis AdapterLoadTime::Estimate() const {
  return Millis(static_cast<int64_t>(estimate_ms_));
}

void AdapterLoadTime::OnRejected(Millis elapsed, int earlier, Millis now) {
  double raise = std::ldexp(kRaise, earlier);
  double raised_ms = static_cast<double>(elapsed.count()) * (1 + raise);
  estimate_ms_ = std::min(kMaxMs, std::max(estimate_ms_, raised_ms));
  rejected_at_ = now;
}

void AdapterLoadTime::OnLoadedInTime(Millis now) {
  if (!rejected_at_ || now - *rejected_at_ > kHoldTime) {
    estimate_ms_ = std::max(kMinMs, estimate_ms_ * kDecay);
  }
}

}  // namespace bilberrypitch
