// Retry budget: limits how many retries this instance may send to one service,
// so that retries cannot multiply the load of a service that is failing.
//
// The limit applies over all instances in a sliding window; each instance uses
// its own share of it.
#pragma once

#include <array>
#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

// Over all instances, in any window of the length `window`.
struct RetryBudgetLimits {
  double ratio = 0;  // Retries for each request.
  double extra = 0;  // Retries in addition to that.
  Millis window{10000};
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits) : limits_(limits) {}

  // A caller's request for the service arrived at this instance.
  void OnRequest(Millis now);
  // Takes one retry from the budget, or returns false if it is exhausted.
  // `RetryBudgetLimits::extra` is divided among `instance_count` instances.
  bool TryAcquire(size_t instance_count, Millis now);

 private:
  static constexpr size_t kSlices = 10;
  // Counts of one part of the window.
  struct Slice {
    int64_t number = -1;  // Since the start of the clock; -1: unused.
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  // Returns the slice for `now`, cleared if it was used for an earlier time.
  Slice* SliceAt(Millis now);
  uint32_t RequestsInWindow(Millis now) const;
  uint32_t RetriesInWindow(Millis now) const;
  int64_t SliceNumber(Millis now) const;

  const RetryBudgetLimits limits_;
  // One more than the window has, as the oldest slice is only partly inside it.
  std::array<Slice, kSlices + 1> slices_;
};

}  // namespace bilberrypitch
