// Tells a new cold period from one that counts down.
#include "serving/cold_period.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// An end that is later by less is a delay of the entry. The sum of such steps
// is compared with the same end, so it can't grow beyond this unnoticed.
constexpr Millis kMaxLater{250};
// An end that is earlier by less follows from a delay of the entry before.
constexpr Millis kMaxEarlier{3000};

}  // namespace

bool ColdPeriod::OnEntry(Millis left, bool is_of_copy, Millis now) {
  const Millis until = now + std::max(Millis(0), left);
  if (is_of_copy) {
    until_ = std::max(until_, until);
    return false;
  }
  bool is_later = left > Millis(0) && until > told_until_ + kMaxLater;
  bool is_earlier = until + kMaxEarlier < until_;
  bool is_news = assumed_ || is_later || is_earlier;
  until_ = is_news || left <= Millis(0) ? until : std::max(until_, until);
  told_until_ = is_news ? until_ : told_until_;
  assumed_ = false;
  return is_news;
}

void ColdPeriod::Assume(Millis duration, Millis now) {
  until_ = std::max(until_, now + duration);
  told_until_ = until_;
  assumed_ = true;
}

}  // namespace bilberrypitch
