// Decides which calls are ended so that the responses that are collected keep
// to their part of the process's memory. It has no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "transport/http_call.h"

namespace bilberrypitch {

// The part of a machine's memory that responses may take. 0: not known.
size_t ResponseBudgetFor(int64_t memory_mb);

// Ends the largest responses of the upstream whose responses hold most, so that
// one in trouble does not take the memory of others. Not thread-safe.
class ResponseBudget {
 public:
  explicit ResponseBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  void SetMaxBytes(size_t max_bytes) { max_bytes_ = max_bytes; }
  // The call to `address` holds so many bytes of its response now.
  void Set(CallId call, const std::string& address, size_t bytes);
  void Remove(CallId call);

  bool exceeded() const { return bytes_held_ > max_bytes_; }
  // Returns a call to be ended, which no longer counts, or nothing while the
  // budget is kept. To be called again until it returns nothing.
  std::optional<CallId> NextEnding();
  size_t bytes_held() const { return bytes_held_; }

 private:
  struct Response {
    std::string address;
    size_t bytes = 0;
  };

  size_t max_bytes_;
  size_t bytes_held_ = 0;  // Sum over `responses_`.
  std::unordered_map<CallId, Response> responses_;
};

}  // namespace bilberrypitch
