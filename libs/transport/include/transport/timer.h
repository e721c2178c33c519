// A timer on an event loop that fires once for each Start.
#pragma once

#include <functional>
#include <memory>

#include "base/strong.h"

namespace bilberrypitch {

class EventLoop;

// Used on the loop's thread only; the loop outlives it. Its destructor cancels.
class Timer {
 public:
  explicit Timer(EventLoop* loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls `fire` once after `delay`; what was started before is cancelled.
  void Start(Millis delay, std::function<void()> fire);
  void Cancel();
  bool pending() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace bilberrypitch
