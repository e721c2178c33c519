// Whether one upstream is cold: for some time after a start during traffic it
// can handle only few requests.
//
// Its entry states how much of that time is left. The end is counted from the
// arrival of the entry, so entries of one period differ by their delays.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

// Not thread-safe.
class ColdPeriod {
 public:
  // An entry arrived that states the time left; zero: it is warm. `is_of_copy`:
  // the store came back from an older copy, which may only lengthen the period.
  // Returns whether the entry states more than that time has passed.
  bool OnEntry(Millis left, bool is_of_copy, Millis now);
  // Counts as cold until an entry that arrives later states otherwise, for at
  // most `duration`.
  void Assume(Millis duration, Millis now);

  bool IsCold(Millis now) const { return now < until_; }
  // Zero or past: it is warm.
  Millis until() const { return until_; }

 private:
  Millis until_;
  Millis told_until_;     // As of the latest entry that stated something new.
  bool assumed_ = false;  // No entry has confirmed it.
};

}  // namespace bilberrypitch
