// Whether an upstream takes work, and how much, as this instance saw it.
//
// Only a connection that can't be made marks an upstream down: a connection
// that went silent or broke says nothing about new ones. After it was down,
// work is let in slowly, so that a cold upstream is not flooded.
#pragma once

#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

// Not thread-safe; its owner holds the lock of the shard.
class UpstreamHealth {
 public:
  // No connection could be made.
  void OnConnectFailure(Millis now);
  // An answer came, whatever its status.
  void OnAnswer(Millis now);
  // A connection broke or went silent with a request on it.
  void OnBroken() { ++broken_; }

  // How many requests may be in flight from here; `most` when it is well.
  uint32_t Allowed(uint32_t most, Millis now) const;
  bool IsDown(Millis now) const { return down_ && now < retry_at_; }
  bool down() const { return down_; }
  uint64_t broken() const { return broken_; }

 private:
  bool down_ = false;
  Millis retry_at_;
  Millis backoff_;
  uint32_t ramp_ = 0;  // 0: no ramp, all may come.
  uint64_t broken_ = 0;
};

}  // namespace bilberrypitch
