// Calls to upstreams and to the platform over HTTP (libcurl, hidden in the
// source). Each worker thread drives its own set of transfers; callbacks come
// on a worker thread.
#pragma once

#include <memory>
#include <vector>

#include "transport/http_call.h"

namespace bilberrypitch {

class HttpClient {
 public:
  explicit HttpClient(size_t workers);
  // Cancels what is open.
  ~HttpClient();

  // Thread-safe. Never calls back before it returns to the worker.
  CallId Start(HttpCall call);
  // Thread-safe; without effect on a call that has ended.
  void Cancel(CallId id);
  // Blocks until the answer. Not from a worker thread.
  CallOutcome Run(HttpCall call);

 private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace bilberrypitch
