// Calls over HTTP on an event loop (libcurl, hidden in the source).
#pragma once

#include <memory>

#include "transport/http_call.h"

namespace bilberrypitch {

class EventLoop;

// Used on the loop's thread only. Connections are kept and used again.
class EventLoopHttpClient {
 public:
  explicit EventLoopHttpClient(EventLoop* loop);
  // Drops what is open without calling back: who would be called may be gone.
  ~EventLoopHttpClient();

  // Never calls back before it returns. `id` is not in use; ids are either all
  // the caller's or all the client's.
  void Start(CallId id, HttpCall call);
  CallId Start(HttpCall call);
  // Calls `on_done` with kCancelled and closes the connection; without effect
  // on a call that has ended.
  void Cancel(CallId id);
  // As Cancel, for all that is open.
  void CancelAll();
  // Connections made since the start.
  uint64_t connections_opened() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
