// Repeats in a sliding window.
#include "serving/retry_budget.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// Part of the bound that is used: instances don't see each other's windows.
constexpr double kUsedPart = 0.8;

}  // namespace

int64_t RetryBudget::Number(Millis now) const {
  int64_t length = std::max<int64_t>(
      1, bound_.window.count() / static_cast<int64_t>(kSlices));
  return now.count() / length;
}

RetryBudget::Slice* RetryBudget::At(Millis now) {
  int64_t number = Number(now);
  Slice& slice = slices_[static_cast<size_t>(number) % slices_.size()];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return &slice;
}

uint32_t RetryBudget::Requests(Millis now) const {
  // Without the oldest slice: never more than the window holds.
  uint32_t sum = 0;
  for (const Slice& it : slices_) {
    bool inside = it.number > Number(now) - static_cast<int64_t>(kSlices);
    sum += inside ? it.requests : 0;
  }
  return sum;
}

uint32_t RetryBudget::Repeats(Millis now) const {
  uint32_t sum = 0;
  for (const Slice& it : slices_) {
    bool inside = it.number >= Number(now) - static_cast<int64_t>(kSlices);
    sum += inside ? it.repeats : 0;
  }
  return sum;
}

void RetryBudget::OnRequest(Millis now) { ++At(now)->requests; }

bool RetryBudget::TryAcquire(size_t instances, Millis now) {
  double part = 1.0 / static_cast<double>(std::max<size_t>(1, instances));
  double allowed =
      kUsedPart * (bound_.ratio * Requests(now) + bound_.extra * part);
  if (Repeats(now) + 1 > allowed) {
    return false;
  }
  ++At(now)->repeats;
  return true;
}

}  // namespace bilberrypitch
