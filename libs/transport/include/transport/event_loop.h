// One thread's loop of sockets and timers (Asio).
//
// Everything that is given to a loop runs on the thread that called Run, one
// callback at a time, so state that only callbacks touch needs no lock.
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

  // Runs until Stop.
  void Run();
  // Thread-safe.
  void Stop();
  // Makes Run possible again after Stop.
  void Restart();
  // Thread-safe; `work` runs later on the loop's thread.
  void Post(std::function<void()> work);
  // Calls `handle` with each of these signals until Run returns. Once only.
  void HandleSignals(const std::vector<int>& signals,
                     std::function<void(int)> handle);
  // Milliseconds of a clock that also counts while the machine is suspended.
  static Millis Now();

  asio::io_context& context() { return *context_; }

 private:
  class Signals;
  std::unique_ptr<asio::io_context> context_;
  std::unique_ptr<Signals> signals_;  // Null: none are handled.
};

}  // namespace bilberrypitch
