// An HTTP client with its own worker threads, based on libcurl.
#pragma once

#include <memory>
#include <vector>

#include "transport/http_call.h"

namespace bilberrypitch {

// Distributes calls over worker threads. Each worker drives its own set of
// transfers; callbacks run on a worker thread.
class HttpClient {
 public:
  // `workers` is the number of threads; at least 1.
  explicit HttpClient(size_t workers);
  // Cancels all open calls; their `on_done` is called with kCancelled.
  ~HttpClient();

  // Starts a call. Thread-safe. Callbacks run on a worker thread, never within
  // Start.
  CallId Start(HttpCall call);
  // Cancels a call. Thread-safe. Has no effect on a call that has ended.
  void Cancel(CallId id);
  // Runs a call and blocks until it has ended. Must not be called on a worker
  // thread.
  CallOutcome Run(HttpCall call);

 private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace bilberrypitch
