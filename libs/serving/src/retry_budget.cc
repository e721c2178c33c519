// Counts requests and retries in a sliding window made of slices.
#include "serving/retry_budget.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// Share of the limit that is used. The rest is a margin, as instances do not
// see each other's windows.
constexpr double kUsedShare = 0.8;

}  // namespace

int64_t RetryBudget::SliceNumber(Millis now) const {
  int64_t slice_ms = std::max<int64_t>(
      1, limits_.window.count() / static_cast<int64_t>(kSlices));
  return now.count() / slice_ms;
}

RetryBudget::Slice* RetryBudget::SliceAt(Millis now) {
  int64_t number = SliceNumber(now);
  Slice& slice = slices_[static_cast<size_t>(number) % slices_.size()];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return &slice;
}

uint32_t RetryBudget::RequestsInWindow(Millis now) const {
  // Leaves out the oldest slice, so that the sum never exceeds the number of
  // requests in the window.
  uint32_t sum = 0;
  for (const Slice& slice : slices_) {
    bool in_window =
        slice.number > SliceNumber(now) - static_cast<int64_t>(kSlices);
    sum += in_window ? slice.requests : 0;
  }
  return sum;
}

uint32_t RetryBudget::RetriesInWindow(Millis now) const {
  // Includes the oldest slice, so that no retry in the window is missed.
  uint32_t sum = 0;
  for (const Slice& slice : slices_) {
    bool in_window =
        slice.number >= SliceNumber(now) - static_cast<int64_t>(kSlices);
    sum += in_window ? slice.retries : 0;
  }
  return sum;
}

void RetryBudget::OnRequest(Millis now) { ++SliceAt(now)->requests; }

bool RetryBudget::TryAcquire(size_t instance_count, Millis now) {
  double share = 1.0 / static_cast<double>(std::max<size_t>(1, instance_count));
  double allowed = kUsedShare * (limits_.ratio * RequestsInWindow(now) +
                                 limits_.extra * share);
  if (RetriesInWindow(now) + 1 > allowed) {
    return false;
  }
  ++SliceAt(now)->retries;
  return true;
}

}  // namespace bilberrypitch
