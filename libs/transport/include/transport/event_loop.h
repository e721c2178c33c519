// A single-threaded event loop for sockets and timers, based on Asio.
//
// All callbacks of a loop run on the thread that called Run, one at a time, so
// state that only callbacks access needs no lock.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/strong.h"

namespace asio {
class io_context;
}

namespace bilberrypitch {

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();

  // Processes events until Stop is called.
  void Run();
  // Thread-safe.
  void Stop();
  // Allows Run to be called again after Stop.
  void Restart();
  // Schedules `task` on the loop's thread and returns immediately. Thread-safe.
  void Post(std::function<void()> task);
  // Calls `handler` on the loop's thread for each of these signals until Run
  // returns. May be called once only.
  void HandleSignals(const std::vector<int>& signals,
                     std::function<void(int)> handler);
  // The current time of a monotonic clock that also advances while the machine
  // is suspended.
  static Millis Now();

  asio::io_context& context() { return *context_; }

 private:
  class Signals;
  std::unique_ptr<asio::io_context> context_;
  std::unique_ptr<Signals> signals_;  // Null until HandleSignals.
};

}  // namespace bilberrypitch
