// A timer on an event loop that fires once for each Start.
#pragma once

#include <functional>
#include <memory>

#include "base/strong.h"

namespace bilberrypitch {

class EventLoop;

// Not thread-safe: use it on the loop's thread only. The loop must outlive the
// timer. The destructor cancels.
class Timer {
 public:
  explicit Timer(EventLoop* loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls `callback` once after `delay`, of which a century counts at most.
  // Cancels an earlier Start.
  void Start(Millis delay, std::function<void()> callback);
  void Cancel();
  bool pending() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace bilberrypitch
