// A histogram of durations with fixed buckets. It is based on Boost.Histogram,
// which only the source file includes.
#pragma once

#include <memory>
#include <string>

#include "base/strong.h"

namespace bilberrypitch {

// Must be used on the event loop's thread only.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Millis duration);
  // Returns the Prometheus text format, with cumulative counts by upper bound
  // in seconds. `name` is the full name of the metric.
  std::string ToPrometheusText(const std::string& name) const;

 private:
  struct Counts;
  std::unique_ptr<Counts> counts_;
  double sum_s_ = 0;
};

}  // namespace bilberrypitch
