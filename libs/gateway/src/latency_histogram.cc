// Histograms of durations, counted by Boost.Histogram.
#include "gateway/latency_histogram.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <vector>

namespace bilberrypitch {
namespace {

namespace bh = boost::histogram;

using Axis = bh::axis::variable<double>;

// Bucket bounds in seconds. The latency targets of callers lie between them.
const std::vector<double>& BucketBounds() {
  static const std::vector<double> bounds = {
      0, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.5, 2.5, 5, 10, 30};
  return bounds;
}

}  // namespace

struct LatencyHistogram::Counts {
  using Type = decltype(bh::make_histogram(Axis(BucketBounds())));
  Type values = bh::make_histogram(Axis(BucketBounds()));
};

LatencyHistogram::LatencyHistogram() : counts_(std::make_unique<Counts>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Millis duration) {
  // A Boost.Histogram bucket excludes its upper bound, a Prometheus bucket
  // includes it. Durations are whole milliseconds, so subtracting half a
  // millisecond counts a duration equal to a bound in the bucket below it.
  constexpr double kHalfMillisecondS = 0.0005;
  counts_->values(duration.seconds() - kHalfMillisecondS);
  sum_s_ += duration.seconds();
}

std::string LatencyHistogram::ToPrometheusText(const std::string& name) const {
  std::string text = fmt::format("# TYPE {} histogram\n", name);
  double cumulative = counts_->values.at(-1);
  const auto bucket_count = static_cast<int>(BucketBounds().size()) - 1;
  for (int i = 0; i < bucket_count; ++i) {
    cumulative += counts_->values.at(i);
    text += fmt::format("{}_bucket{{le=\"{}\"}} {:.0f}\n", name,
                        BucketBounds()[static_cast<size_t>(i) + 1], cumulative);
  }
  double total = cumulative + counts_->values.at(bucket_count);
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {:.0f}\n", name, total);
  text += fmt::format("{}_sum {:.3f}\n{}_count {:.0f}\n", name, sum_s_, name,
                      total);
  return text;
}

}  // namespace bilberrypitch
