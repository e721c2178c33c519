// Pauses of this process.
#include "membership/pause_detector.h"

#include <time.h>

namespace bilberrypitch {

bool PauseDetector::OnTick(Millis now) {
  bool paused = started_ && now - last_ > longest_gap_;
  started_ = true;
  last_ = now;
  if (paused) {
    ++pauses_;
  }
  return paused;
}

Millis BootTimeNow() {
  timespec it{};
  clock_gettime(CLOCK_BOOTTIME, &it);
  return Millis(static_cast<int64_t>(it.tv_sec) * 1000 + it.tv_nsec / 1000000);
}

}  // namespace bilberrypitch
