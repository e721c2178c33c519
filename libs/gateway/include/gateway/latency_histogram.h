// Counts of durations in fixed ranges (Boost.Histogram, hidden in the source).
#pragma once

#include <memory>
#include <string>

#include "base/strong.h"

namespace bilberrypitch {

// On the loop's thread only.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Millis duration);
  // In the common text format, with cumulative counts by upper bound in
  // seconds. `name` is the whole name of the metric.
  std::string ToPrometheusText(const std::string& name) const;

 private:
  struct Counts;
  std::unique_ptr<Counts> counts_;
  double sum_s_ = 0;
};

}  // namespace bilberrypitch
