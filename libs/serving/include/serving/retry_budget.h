// How many repeated sends to one service this instance may make: its part of
// a bound over all instances, in a sliding window.
#pragma once

#include <array>
#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

struct RetryBudgetLimits {
  double ratio = 0;  // Repeats for each request,
  double extra = 0;  // and beside these, over all instances,
  Millis window{10000};
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits bound) : bound_(bound) {}

  // A caller's request for the service arrived here.
  void OnRequest(Millis now);
  // Takes one repeat, or returns false. `instances` share the slack.
  bool TryAcquire(size_t instances, Millis now);

 private:
  static constexpr size_t kSlices = 10;
  struct Slice {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };

  Slice* At(Millis now);
  uint32_t Requests(Millis now) const;
  uint32_t Repeats(Millis now) const;
  int64_t Number(Millis now) const;

  const RetryBudgetLimits bound_;
  // One more than the window has: the oldest is only partly inside it.
  std::array<Slice, kSlices + 1> slices_;
};

}  // namespace bilberrypitch
