// Slowdown and concurrency limit of an upstream.
#include "serving/capacity_estimate.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

// Figures that change many times a second are averaged over about this time.
constexpr Millis kSmoothingTime{200};
constexpr double kMinWeight = 0.3;  // Of a new sample.
// News is smoothed by its sender.
constexpr double kMinNewsWeight = 0.8;
// The limit falls at once and rises over about this time.
constexpr Millis kLimitRiseTime{1000};
// Slowdowns below this are noise.
constexpr double kNoise = 1.1;
constexpr double kSlowFrom = 1.5;
constexpr double kRecoveredBelow = 1.25;
// A latency below this multiple of the usual one shows no slowdown: requests of
// plain services take 15 to 60 ms of work, so single ones differ by up to 1.6
// from the mean.
constexpr double kClearRatio = 2.5;
constexpr double kMaxSlowdown = 50;
// Latencies needed for a usual one.
constexpr int kMinLatencies = 8;
constexpr int kMaxLatencies = 1000;  // Further ones need not be counted.
// Least weight of a latency in the usual one. It counts as at most
// `kClearRatio` times the usual one, so that a slow upstream becomes the usual
// one only after many requests.
constexpr double kLatencyWeight = 0.02;
constexpr double kOverdueFactor = 3;
// Without samples, a slowdown is forgotten over this time, after the same time.
constexpr Millis kForgetTime{10 * 1000};
// No probe while a sample is as recent as this.
constexpr Millis kProbeAfter{400};
// The share of requests that probe grows with the age of the latest sample.
constexpr double kProbeSharePerS = 0.05;
constexpr double kMaxProbeShare = 0.5;
// The estimate stays in effect for this long after a stated figure or a sample
// that shows a slowdown. The smoothed latency without an estimate takes as long
// to return to its usual value.
constexpr Millis kEffectTime{30 * 1000};
// The same after a rejection.
constexpr Millis kEffectTimeAfterFull{10 * 1000};
constexpr double kDefaultLatencyMs = 40;
// An assumed latency counts as this many observed ones.
constexpr double kAssumedWeight = 2;
// The time for which an upstream counts as full doubles up to this often.
constexpr uint32_t kMaxFullDoublings = 4;
constexpr double kNewsRatio = 1.2;
constexpr Millis kNewsRepeatTime{500};

// The weight of a sample that follows the previous one after `elapsed`.
double WeightAfter(Millis elapsed, Millis time) {
  return 1 - std::exp(-elapsed.seconds() / time.seconds());
}

}  // namespace

bool CapacityEstimate::has_usual_latency() const {
  return latency_samples_ >= kMinLatencies;
}

bool CapacityEstimate::StatesSlowdown(Millis now) const {
  return stated_at_ && now - *stated_at_ < kEffectTime;
}

void CapacityEstimate::OnReport(const UpstreamLoadReport& report, Millis now) {
  report_ = report;
  if (report.slowdown) {
    stated_at_ = now;
    has_own_sample_ = true;
    OnSample(*report.slowdown, kMinWeight, now);
  }
}

void CapacityEstimate::OnNews(double slowdown, Millis now) {
  if (!std::isfinite(slowdown) || slowdown <= 0) {
    return;
  }
  known_to_others_ = std::clamp(slowdown, 1.0, kMaxSlowdown);
  known_to_others_at_ = now;
  has_own_sample_ = false;  // The next one shows whether they need to know.
  OnSample(slowdown, kMinNewsWeight, now);
}

void CapacityEstimate::OnAttemptBegun(Millis now) { open_.insert(now); }

void CapacityEstimate::OnAttemptEnded(Millis begun_at, bool completed,
                                      Millis now) {
  auto open = open_.find(begun_at);
  if (open == open_.end()) {
    return;  // The upstream has restarted since.
  }
  open_.erase(open);
  if (completed) {
    full_in_a_row_ = 0;
    OnLatency(static_cast<double>((now - begun_at).count()), now);
  }
}

void CapacityEstimate::OnLatency(double latency_ms, Millis now) {
  latency_ms = std::max(1.0, latency_ms);
  double usual_ms = latency_ms;
  if (StatesSlowdown(now)) {
    usual_ms /= std::max(1.0, slowdown_);
  }
  double ratio = has_usual_latency() ? latency_ms / usual_latency_ms_ : 1;
  if (has_usual_latency()) {
    usual_ms = std::min(usual_ms, kClearRatio * usual_latency_ms_);
  }
  latency_samples_ = std::min(latency_samples_ + 1, kMaxLatencies);
  double weight = std::max(kLatencyWeight, 1.0 / latency_samples_);
  usual_latency_ms_ += weight * (usual_ms - usual_latency_ms_);
  if (has_usual_latency() && !StatesSlowdown(now)) {
    has_own_sample_ = true;
    OnSample(ratio >= kClearRatio ? ratio : 1, kMinWeight, now);
  }
}

void CapacityEstimate::OnFull(Millis now) {
  full_at_ = now;
  ++full_in_a_row_;
}

void CapacityEstimate::OnSample(double slowdown, double min_weight,
                                Millis now) {
  slowdown = std::clamp(slowdown, 1 / kMaxSlowdown, kMaxSlowdown);
  Millis since_previous = sampled_at_ ? now - *sampled_at_ : kForgetTime;
  double weight =
      std::max(min_weight, WeightAfter(since_previous, kSmoothingTime));
  slowdown_ += weight * (slowdown - slowdown_);
  sampled_at_ = now;
  if (slowdown_ >= kNoise) {
    slow_at_ = now;
  }
  is_slow_ = slowdown_ >= (is_slow_ ? kRecoveredBelow : kSlowFrom);
  UpdateLimit(since_previous);
}

// As in TCP Vegas: what runs now would take the usual time if it was less by
// the slowdown. The square root leaves room to find that more is possible.
void CapacityEstimate::UpdateLimit(Millis since_previous) {
  double target = 1;
  if (slowdown_ >= kNoise) {
    double slots = std::max<double>(1, report_.slots);
    target = (report_.running / slowdown_ + std::sqrt(slots)) / slots;
    target = std::clamp(target, 1 / slots, 1.0);
  }
  double weight =
      target < limit_share_ ? 1 : WeightAfter(since_previous, kLimitRiseTime);
  limit_share_ += weight * (target - limit_share_);
}

// An attempt from before the latest sample says nothing: the upstream has
// responded to others since.
double CapacityEstimate::OverdueSlowdown(Millis now) const {
  auto oldest = open_.upper_bound(sampled_at_.value_or(Millis(0)));
  if (oldest == open_.end() || !has_usual_latency()) {
    return 1;
  }
  double ratio =
      static_cast<double>((now - *oldest).count()) / usual_latency_ms_;
  return ratio >= kOverdueFactor ? std::min(ratio, kMaxSlowdown) : 1;
}

double CapacityEstimate::Slowdown(Millis now) const {
  double known = slowdown_ >= kNoise ? slowdown_ : 1;
  Millis age = sampled_at_ ? now - *sampled_at_ : Millis(0);
  if (age > kForgetTime) {
    known = 1 + (known - 1) * (1 - WeightAfter(age - kForgetTime, kForgetTime));
  }
  return std::max(known, OverdueSlowdown(now));
}

double CapacityEstimate::ConcurrencyLimit(uint32_t slots) const {
  return std::max(1.0, limit_share_ * slots);
}

std::optional<double> CapacityEstimate::UsualLatencyMs() const {
  return has_usual_latency() ? std::optional(usual_latency_ms_) : std::nullopt;
}

double CapacityEstimate::UsualLatencyMsOr(double assumed_ms) const {
  double sum =
      usual_latency_ms_ * latency_samples_ + assumed_ms * kAssumedWeight;
  return sum / (latency_samples_ + kAssumedWeight);
}

double CapacityEstimate::Fullness(Millis now) const {
  if (!full_at_ || full_in_a_row_ == 0) {
    return 0;
  }
  auto age_ms = static_cast<double>((now - *full_at_).count());
  double time_ms = UsualLatencyMsOr(kDefaultLatencyMs) * Slowdown(now) *
                   (1U << std::min(full_in_a_row_ - 1, kMaxFullDoublings));
  return std::exp(-age_ms / time_ms);
}

bool CapacityEstimate::ProbeDue(double draw, Millis now) const {
  if (!is_slow_ || now - *sampled_at_ < kProbeAfter) {
    return false;
  }
  double share = kProbeSharePerS * (now - *sampled_at_).seconds();
  return draw < std::min(share, kMaxProbeShare);
}

bool CapacityEstimate::IsInEffect(Millis now) const {
  return StatesSlowdown(now) || (slow_at_ && now - *slow_at_ < kEffectTime) ||
         (full_at_ && now - *full_at_ < kEffectTimeAfterFull) ||
         OverdueSlowdown(now) > 1;
}

bool CapacityEstimate::IsNewsDue(Millis now) const {
  if (!has_own_sample_) {
    return false;
  }
  double slowdown = Slowdown(now);
  double ratio = slowdown / known_to_others_;
  return ratio > kNewsRatio || ratio < 1 / kNewsRatio ||
         (is_slow_ && now - known_to_others_at_ >= kNewsRepeatTime);
}

void CapacityEstimate::OnNewsSent(Millis now) {
  known_to_others_ = Slowdown(now);
  known_to_others_at_ = now;
  has_own_sample_ = false;
}

}  // namespace bilberrypitch
