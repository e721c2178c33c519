// One thread's loop of sockets and timers (Asio).
//
// Everything that is given to a loop runs on the thread that called Run, one
// callback at a time, so state that only callbacks touch needs no lock.
#pragma once

#include <functional>
#include <memory>

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
  // Thread-safe; `work` runs later on the loop's thread.
  void Post(std::function<void()> work);
  // Milliseconds of a clock that also counts while the machine is suspended.
  static Millis Now();

  asio::io_context& context() { return *context_; }

 private:
  std::unique_ptr<asio::io_context> context_;
};

}  // namespace bilberrypitch
