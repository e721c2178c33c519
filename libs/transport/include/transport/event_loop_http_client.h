// An HTTP client that runs on an event loop, based on libcurl.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/http_call.h"

namespace bilberrypitch {

class EventLoop;

// Keeps connections open and reuses them. Not thread-safe: use it on the loop's
// thread only.
class EventLoopHttpClient {
 public:
  // Receives the address (IP:port) of a call's upstream.
  using UnsolicitedBytesHook = std::function<void(const std::string& address)>;

  explicit EventLoopHttpClient(EventLoop* loop);
  // Cancels all open calls without calling `on_done`, because the objects that
  // the callbacks refer to may already be destroyed.
  ~EventLoopHttpClient();

  // Never calls back before it returns. `id` is not in use; ids are either all
  // chosen by the caller or all assigned by the client.
  void Start(CallId id, HttpCall call);
  CallId Start(HttpCall call);
  // Calls `on_done` with kCancelled and closes the connection; without effect
  // on a call that has ended.
  void Cancel(CallId id);
  // Stops reading the response until Resume; a few buffers may still be passed
  // on. The total timeout goes on. To be called from within the call's
  // `on_data`, before it returns.
  void Pause(CallId id);
  // Unknown ids and calls that are not paused are ignored.
  void Resume(CallId id);
  // Cancels all open calls.
  void CancelAll();
  // Sets what is called when bytes arrive on an idle connection. They belong to
  // no request; the connection is not used again.
  void SetOnUnsolicitedBytes(UnsolicitedBytesHook hook);
  // All responses together may hold so many bytes while they are collected.
  // Beyond it, the largest ones of the upstream that holds most end with
  // kResponseTooLarge. Applies to calls that start afterwards; without it there
  // is no such bound.
  void SetResponseBudget(size_t max_bytes);
  // Whoever gets the response by `on_data` keeps so many bytes of it. Unknown
  // ids are ignored.
  void SetBytesKept(CallId id, size_t bytes);
  size_t response_bytes_held() const;
  // Calls that were ended for the budget.
  uint64_t calls_ended_for_memory() const;
  // The number of connections opened by ended calls since construction.
  uint64_t connections_opened() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
