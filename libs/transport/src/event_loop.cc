// Implements EventLoop and Timer with Asio.
#include "transport/event_loop.h"

#include <time.h>

#include <algorithm>
#include <asio.hpp>

#include "transport/timer.h"

namespace bilberrypitch {
namespace {

// A century, which the clock of Asio can add to the present.
constexpr Millis kLongestDelay{int64_t{100} * 365 * 24 * 3600 * 1000};

}  // namespace

class EventLoop::Signals {
 public:
  Signals(asio::io_context& context, std::function<void(int)> handler)
      : set_(context), handler_(std::move(handler)) {}

  void Add(int signal) { set_.add(signal); }
  void Wait() {
    set_.async_wait([this](const asio::error_code& ec, int signal) {
      if (!ec) {
        handler_(signal);
        Wait();
      }
    });
  }

 private:
  asio::signal_set set_;
  const std::function<void(int)> handler_;
};

EventLoop::EventLoop() : context_(std::make_unique<asio::io_context>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  auto work_guard = asio::make_work_guard(*context_);
  context_->run();
}

void EventLoop::Stop() { context_->stop(); }

void EventLoop::Restart() { context_->restart(); }

void EventLoop::Post(std::function<void()> task) {
  asio::post(*context_, std::move(task));
}

void EventLoop::HandleSignals(const std::vector<int>& signals,
                              std::function<void(int)> handler) {
  signals_ = std::make_unique<Signals>(*context_, std::move(handler));
  for (int signal : signals) {
    signals_->Add(signal);
  }
  signals_->Wait();
}

Millis EventLoop::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(static_cast<int64_t>(now.tv_sec) * 1000 +
                now.tv_nsec / 1000000);
}

// The pending wait handler shares ownership of the state, so that a timer may
// be destroyed within its own callback.
struct Timer::State {
  explicit State(asio::io_context& context) : timer(context) {}
  asio::steady_timer timer;
  uint64_t generation = 0;  // Incremented by each Start and Cancel.
  bool pending = false;
};

Timer::Timer(EventLoop* loop)
    : state_(std::make_shared<State>(loop->context())) {}

Timer::~Timer() { Cancel(); }

void Timer::Start(Millis delay, std::function<void()> callback) {
  uint64_t generation = ++state_->generation;
  state_->pending = true;
  state_->timer.expires_after(
      std::chrono::milliseconds(std::min(delay, kLongestDelay).count()));
  state_->timer.async_wait(
      [state = state_, generation,
       callback = std::move(callback)](const asio::error_code& ec) {
        if (ec || generation != state->generation) {
          return;
        }
        state->pending = false;
        callback();
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
