// Compares the gaps in the confirmations of instances.
#include "serving/store_outage.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// After the end of a gap. Whether there was an outage is asked soon after it.
constexpr Millis kRememberedFor{8 * 1000};
// Shorter gaps occur without any failure.
constexpr Millis kMinGap{500};

}  // namespace

void StoreOutage::OnConfirmed(Millis at) {
  if (!was_confirmed_) {
    was_confirmed_ = true;
    followed_since_ = at;
  } else if (at - confirmed_at_ >= kMinGap) {
    gaps_.push_back({at, at - confirmed_at_});
  }
  confirmed_at_ = std::max(confirmed_at_, at);
  while (!gaps_.empty() && at - gaps_.front().end > kRememberedFor) {
    gaps_.pop_front();
  }
}

void StoreOutage::OnFailure(Millis now) {
  if (!failing_) {
    failing_ = true;
    first_failure_at_ = now;
  }
  last_failure_at_ = now;
}

// One instance that saw no outage is enough, whatever others have seen: they
// may have been cut off as well.
void StoreOutage::OnPeerGap(Millis longest_gap) {
  bool is_settled =
      verdict_ == Verdict::kCutOff || verdict_ == Verdict::kRestored;
  if (longest_gap == Millis(0) || is_settled) {
    return;
  }
  bool saw_outage = longest_gap >= last_failure_at_ - first_failure_at_;
  verdict_ = saw_outage ? Verdict::kOutage : Verdict::kCutOff;
}

Millis StoreOutage::LongestGap(Millis now) const {
  if (!was_confirmed_ || now - followed_since_ < kRememberedFor) {
    return Millis(0);
  }
  Millis longest = std::max(now - confirmed_at_, Millis(1));
  for (const Gap& gap : gaps_) {
    longest = std::max(longest, gap.length);
  }
  return longest;
}

}  // namespace bilberrypitch
