// Asio behind EventLoop and Timer.
#include "transport/event_loop.h"

#include <time.h>

#include <asio.hpp>

#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop::Signals {
 public:
  Signals(asio::io_context& context, std::function<void(int)> handle)
      : set_(context), handle_(std::move(handle)) {}

  void Add(int signal) { set_.add(signal); }
  void Wait() {
    set_.async_wait([this](const asio::error_code& ec, int signal) {
      if (!ec) {
        handle_(signal);
        Wait();
      }
    });
  }

 private:
  asio::signal_set set_;
  const std::function<void(int)> handle_;
};

EventLoop::EventLoop() : context_(std::make_unique<asio::io_context>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  auto guard = asio::make_work_guard(*context_);
  context_->run();
}

void EventLoop::Stop() { context_->stop(); }

void EventLoop::Restart() { context_->restart(); }

void EventLoop::Post(std::function<void()> work) {
  asio::post(*context_, std::move(work));
}

void EventLoop::HandleSignals(const std::vector<int>& signals,
                              std::function<void(int)> handle) {
  signals_ = std::make_unique<Signals>(*context_, std::move(handle));
  for (int it : signals) {
    signals_->Add(it);
  }
  signals_->Wait();
}

Millis EventLoop::Now() {
  timespec it{};
  clock_gettime(CLOCK_BOOTTIME, &it);
  return Millis(static_cast<int64_t>(it.tv_sec) * 1000 + it.tv_nsec / 1000000);
}

// Kept alive by the handler that waits, so that a timer may be destroyed from
// within its own callback.
struct Timer::State {
  explicit State(asio::io_context& context) : timer(context) {}
  asio::steady_timer timer;
  uint64_t generation = 0;  // Raised by each start and cancel.
  bool pending = false;
};

Timer::Timer(EventLoop* loop)
    : state_(std::make_shared<State>(loop->context())) {}

Timer::~Timer() { Cancel(); }

void Timer::Start(Millis delay, std::function<void()> fire) {
  uint64_t generation = ++state_->generation;
  state_->pending = true;
  state_->timer.expires_after(std::chrono::milliseconds(delay.count()));
  state_->timer.async_wait([state = state_, generation, fire = std::move(fire)](
                               const asio::error_code& ec) {
    if (ec || generation != state->generation) {
      return;
    }
    state->pending = false;
    fire();
  });
}

void Timer::Cancel() {
  if (state_->pending) {
    ++state_->generation;
    state_->pending = false;
    state_->timer.cancel();
  }
}

bool Timer::pending() const { return state_->pending; }

}  // namespace bilberrypitch
