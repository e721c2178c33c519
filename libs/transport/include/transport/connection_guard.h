// Applies the decisions of BodyBudget to the connections of all servers of a
// process.
//
// Must be used on the event loop's thread only, as must the servers that it is
// given to.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "transport/body_budget.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;

class ConnectionGuard {
 public:
  using ConnectionKey = BodyBudget::ConnectionKey;
  // Ends a connection. It may be called from within any call of this object.
  using EndHook = std::function<void(EndCause)>;

  // `loop` must outlive this object.
  ConnectionGuard(EventLoop* loop, const BodyBudgetLimits& limits);

  void SetMaxBodyBytes(size_t max_body_bytes) {
    budget_.SetMaxBodyBytes(max_body_bytes);
  }

  ConnectionKey Open(EndHook end);
  void Close(ConnectionKey connection);
  // See BodyBudget.
  void OnReceived(ConnectionKey connection, size_t cost);
  void AddHandled(ConnectionKey connection, size_t cost);
  void RemoveHandled(ConnectionKey connection, size_t cost);
  void AddUnread(ConnectionKey connection, size_t bytes);
  void RemoveUnread(ConnectionKey connection, size_t bytes);
  // Counts and logs a connection that is ended for this cause.
  void OnEnded(EndCause cause);

  const BodyBudget& budget() const { return budget_; }
  // Connections that were ended, by cause.
  const std::array<uint64_t, kEndCauseCount>& ended() const { return ended_; }

 private:
  void EndSome();
  void EndStalled();
  void End(const BodyBudget::Ending& ending);

  BodyBudget budget_;
  std::unordered_map<ConnectionKey, EndHook> hooks_;
  Timer timer_;  // Runs while requests are received.
  std::array<uint64_t, kEndCauseCount> ended_{};
  std::array<uint64_t, kEndCauseCount> logged_{};  // Of `ended_`.
  std::array<Millis, kEndCauseCount> logged_at_{};
};

}  // namespace bilberrypitch
