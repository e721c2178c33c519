// Implements ConnectionGuard.
#include "transport/connection_guard.h"

#include <utility>

#include "base/log.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kStallCheckInterval{500};
// Between two log lines for one cause.
constexpr Millis kLogInterval{10 * 1000};

}  // namespace

ConnectionGuard::ConnectionGuard(EventLoop* loop,
                                 const BodyBudgetLimits& limits)
    : budget_(limits), timer_(loop) {}

ConnectionGuard::ConnectionKey ConnectionGuard::Open(EndHook end) {
  const ConnectionKey key = budget_.Open(EventLoop::Now());
  hooks_[key] = std::move(end);
  EndSome();
  return key;
}

void ConnectionGuard::Close(ConnectionKey connection) {
  budget_.Close(connection);
  hooks_.erase(connection);
}

void ConnectionGuard::OnReceived(ConnectionKey connection, size_t cost) {
  budget_.OnReceived(connection, cost, EventLoop::Now());
  EndSome();
  if (budget_.IsReceiving() && !timer_.pending()) {
    timer_.Start(kStallCheckInterval, [this] { EndStalled(); });
  }
}

void ConnectionGuard::AddHandled(ConnectionKey connection, size_t cost) {
  budget_.AddHandled(connection, cost);
}

void ConnectionGuard::RemoveHandled(ConnectionKey connection, size_t cost) {
  budget_.RemoveHandled(connection, cost);
}

void ConnectionGuard::AddUnread(ConnectionKey connection, size_t bytes) {
  budget_.AddUnread(connection, bytes, EventLoop::Now());
  EndSome();
}

void ConnectionGuard::RemoveUnread(ConnectionKey connection, size_t bytes) {
  budget_.RemoveUnread(connection, bytes, EventLoop::Now());
}

void ConnectionGuard::EndSome() {
  const Millis now = EventLoop::Now();
  while (auto ending = budget_.NextEnding(now)) {
    End(*ending);
  }
}

void ConnectionGuard::EndStalled() {
  const Millis now = EventLoop::Now();
  while (auto ending = budget_.NextStalled(now)) {
    End(*ending);
  }
  if (budget_.IsReceiving()) {
    timer_.Start(kStallCheckInterval, [this] { EndStalled(); });
  }
}

void ConnectionGuard::End(const BodyBudget::Ending& ending) {
  auto it = hooks_.find(ending.connection);
  if (it == hooks_.end()) {
    return;
  }
  const EndHook hook = std::move(it->second);
  hooks_.erase(it);
  OnEnded(ending.cause);
  hook(ending.cause);
}

// A crowd of such connections costs one line, and the next one tells how many
// there were.
void ConnectionGuard::OnEnded(EndCause cause) {
  const auto index = static_cast<size_t>(cause);
  const uint64_t count = ++ended_.at(index);
  const Millis now = EventLoop::Now();
  const bool is_first = logged_.at(index) == 0;
  if (!is_first && now - logged_at_.at(index) < kLogInterval) {
    return;
  }
  LogWarning("body",
             "Ended connections cause={} count={} held_bytes={} "
             "connections={}.",
             NameOf(cause), count - logged_.at(index), budget_.bytes_held(),
             budget_.connection_count());
  logged_.at(index) = count;
  logged_at_.at(index) = now;
}

}  // namespace bilberrypitch
