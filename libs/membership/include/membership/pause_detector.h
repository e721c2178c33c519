// Notices that this process was paused, by the gap between two ticks on a
// boot-time clock.
#pragma once

#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

// Not thread-safe; its owner holds the lock.
class PauseDetector {
 public:
  explicit PauseDetector(Millis longest_gap) : longest_gap_(longest_gap) {}

  // Called regularly. True when the time since the last tick shows a pause.
  bool OnTick(Millis now);
  // Whether a pause is over that no tick has noticed yet: other threads can run
  // before the one that ticks.
  bool Unnoticed(Millis now) const {
    return started_ && now - last_ > longest_gap_;
  }
  // The number of pauses noticed so far.
  uint64_t pauses() const { return pauses_; }

 private:
  Millis longest_gap_;
  Millis last_;
  bool started_ = false;
  uint64_t pauses_ = 0;
};

// The clock that goes on while the machine sleeps.
Millis BootTimeNow();

}  // namespace bilberrypitch
