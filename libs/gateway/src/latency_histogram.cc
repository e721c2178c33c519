// Histograms of durations.
#include "gateway/latency_histogram.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <vector>

namespace bilberrypitch {
namespace {

namespace bh = boost::histogram;

using Axis = bh::axis::variable<double>;

// Upper bounds in seconds; the goals of callers lie between them.
const std::vector<double>& Bounds() {
  static const std::vector<double> bounds = {
      0, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.5, 2.5, 5, 10, 30};
  return bounds;
}

}  // namespace

struct LatencyHistogram::Counts {
  using Type = decltype(bh::make_histogram(Axis(Bounds())));
  Type values = bh::make_histogram(Axis(Bounds()));
};

LatencyHistogram::LatencyHistogram() : counts_(std::make_unique<Counts>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Millis duration) {
  // A range excludes its upper bound; times are whole milliseconds.
  constexpr double kBelowNext = 0.0005;
  counts_->values(duration.seconds() - kBelowNext);
  sum_s_ += duration.seconds();
}

std::string LatencyHistogram::ToPrometheusText(const std::string& name) const {
  std::string text = fmt::format("# TYPE {} histogram\n", name);
  double below = counts_->values.at(-1);
  const auto bins = static_cast<int>(Bounds().size()) - 1;
  for (int i = 0; i < bins; ++i) {
    below += counts_->values.at(i);
    text += fmt::format("{}_bucket{{le=\"{}\"}} {:.0f}\n", name,
                        Bounds()[static_cast<size_t>(i) + 1], below);
  }
  double all = below + counts_->values.at(bins);
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {:.0f}\n", name, all);
  text +=
      fmt::format("{}_sum {:.3f}\n{}_count {:.0f}\n", name, sum_s_, name, all);
  return text;
}

}  // namespace bilberrypitch
