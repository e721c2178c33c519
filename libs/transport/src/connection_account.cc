// Implements ConnectionAccount.
#include "connection_account.h"

#include <utility>

namespace bilberrypitch {

ConnectionAccount::ConnectionAccount(
    const std::shared_ptr<ConnectionGuard>& guard, ConnectionGuard::EndHook end)
    : guard_(guard), key_(guard->Open(std::move(end))) {}

ConnectionAccount::~ConnectionAccount() { Close(); }

void ConnectionAccount::OnReceived(size_t cost) {
  if (auto guard = guard_.lock()) {
    guard->OnReceived(key_, cost);
  }
}

std::shared_ptr<void> ConnectionAccount::HoldHandled(size_t cost) {
  if (auto guard = guard_.lock()) {
    guard->AddHandled(key_, cost);
  }
  return {nullptr, [guard = guard_, key = key_, cost](void*) {
            if (auto it = guard.lock()) {
              it->RemoveHandled(key, cost);
            }
          }};
}

std::shared_ptr<void> ConnectionAccount::HoldUnread(size_t bytes) {
  AddUnread(bytes);
  return {nullptr, [self = shared_from_this(), bytes](void*) {
            self->RemoveUnread(bytes);
          }};
}

void ConnectionAccount::AddUnread(size_t bytes) {
  if (auto guard = guard_.lock()) {
    guard->AddUnread(key_, bytes);
  }
}

void ConnectionAccount::RemoveUnread(size_t bytes) {
  if (auto guard = guard_.lock()) {
    guard->RemoveUnread(key_, bytes);
  }
}

void ConnectionAccount::OnEnded(EndCause cause) {
  if (auto guard = guard_.lock()) {
    guard->OnEnded(cause);
  }
}

void ConnectionAccount::Close() {
  if (auto guard = guard_.lock()) {
    guard->Close(key_);
  }
}

}  // namespace bilberrypitch
