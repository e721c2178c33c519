// The requests of each connection that wait for their turn.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>

#include "base/strong.h"
#include "request_inspector.h"

namespace bilberrypitch {

struct ReceivedRequest {
  restinio::request_handle_t handle;
  Millis at;  // When it was received.
  InspectedRequest inspected;
};

// Lets the server handle one request of a connection at a time, so that none
// is handled whose response the connection would no longer carry.
class PipelinedRequests {
 public:
  void OnAccepted(uint64_t connection_id,
                  std::shared_ptr<RequestInspector> inspector) {
    std::lock_guard lock(lock_);
    inspectors_[connection_id] = std::move(inspector);
  }

  // Completes the request. Returns whether it may be handled now; otherwise it
  // is kept.
  bool Add(ReceivedRequest* received) {
    std::lock_guard lock(lock_);
    ReceivedRequest& request = *received;
    auto inspector = inspectors_.find(request.handle->connection_id());
    if (inspector != inspectors_.end()) {
      request.inspected = inspector->second->TakeRequest();
    }
    auto [it, is_first] = waiting_.try_emplace(request.handle->connection_id());
    if (!is_first) {
      it->second.push_back(request);
    }
    return is_first;
  }

  bool HasWaiting(uint64_t connection_id) {
    std::lock_guard lock(lock_);
    auto it = waiting_.find(connection_id);
    return it != waiting_.end() && !it->second.empty();
  }

  // The request that is handled has its response. Returns the next one, if
  // there is one. `closes`: the response closes the connection, so that the
  // rest is dropped, and what is still read there.
  std::optional<ReceivedRequest> OnResponded(uint64_t connection_id,
                                             bool closes) {
    std::lock_guard lock(lock_);
    auto it = waiting_.find(connection_id);
    if (it == waiting_.end()) {
      return std::nullopt;
    }
    if (closes) {
      it->second.clear();
      return std::nullopt;
    }
    if (it->second.empty()) {
      waiting_.erase(it);
      return std::nullopt;
    }
    ReceivedRequest next = std::move(it->second.front());
    it->second.pop_front();
    return next;
  }

  void OnClosed(uint64_t connection_id) {
    std::lock_guard lock(lock_);
    waiting_.erase(connection_id);
    inspectors_.erase(connection_id);
  }

 private:
  std::mutex lock_;
  std::unordered_map<uint64_t, std::shared_ptr<RequestInspector>> inspectors_;
  // By connection. A connection has an entry while one of its requests is
  // handled, and from its last response until it is closed.
  std::unordered_map<uint64_t, std::deque<ReceivedRequest>> waiting_;
};

}  // namespace bilberrypitch
