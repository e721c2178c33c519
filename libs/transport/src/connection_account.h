// What one connection takes of the budget of a ConnectionGuard.
#pragma once

#include <cstddef>
#include <memory>

#include "transport/connection_guard.h"

namespace bilberrypitch {

class ConnectionAccount
    : public std::enable_shared_from_this<ConnectionAccount> {
 public:
  ConnectionAccount(const std::shared_ptr<ConnectionGuard>& guard,
                    ConnectionGuard::EndHook end);
  ~ConnectionAccount();
  ConnectionAccount(const ConnectionAccount&) = delete;
  ConnectionAccount& operator=(const ConnectionAccount&) = delete;

  // Bytes have come; `cost` as in BodyBudget.
  void OnReceived(size_t cost);
  // A request is handled until the result is released.
  std::shared_ptr<void> HoldHandled(size_t cost);
  // Bytes of a response are not read until the result is released.
  std::shared_ptr<void> HoldUnread(size_t bytes);
  // The same, for bytes that change in number.
  void AddUnread(size_t bytes);
  void RemoveUnread(size_t bytes);
  // The connection is ended for a cause that its own bytes state.
  void OnEnded(EndCause cause);
  // The connection is closed; the hook is not called any more. Idempotent.
  void Close();

 private:
  // A response may outlive the process's servers.
  const std::weak_ptr<ConnectionGuard> guard_;
  ConnectionGuard::ConnectionKey key_ = 0;
};

}  // namespace bilberrypitch
