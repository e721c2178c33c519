// Calls to upstreams and to the platform over HTTP (libcurl, hidden in the
// source). Each worker thread drives its own set of transfers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/strong.h"
#include "transport/http_message.h"

namespace bilberrypitch {

// How a call ended.
enum class CallResult : uint8_t {
  kComplete,        // An answer with its proper end.
  kRefused,         // No connection could be made: nothing was sent.
  kConnectTimeout,  // The peer did not take the connection: nothing was sent.
  kBroken,     // The connection broke after the request may have been read.
  kSilent,     // No progress within the deadline on an open connection.
  kTooLong,    // The whole deadline passed.
  kTooLarge,   // The answer exceeds the bound.
  kCancelled,  // By the caller of Start.
};

// True only when the upstream can't have seen the request.
constexpr bool SurelyNotSent(CallResult result) {
  return result == CallResult::kRefused ||
         result == CallResult::kConnectTimeout;
}

struct CallDeadlines {
  Millis connect{1000};
  Millis first_byte{60 * 1000};  // From start to the first byte of the answer.
  Millis progress{30 * 1000};    // Between two bytes of the answer.
  Millis whole{600 * 1000};
};

struct CallOutcome {
  CallResult result = CallResult::kCancelled;
  int status = 0;
  HttpHeaders headers;
  std::string body;  // Empty when `on_data` was given.
  bool reused_connection = false;
};

struct HttpCall {
  std::string method = "GET";
  std::string address;  // IP:port.
  std::string target;   // Path and query.
  HttpHeaders headers;
  std::string body;
  CallDeadlines deadlines;
  size_t max_answer_bytes = 8 << 20;
  // A connection of its own, never reused before or after. libcurl silently
  // sends a request again when a reused connection closes before the answer;
  // a call that must run at most once sets this.
  bool own_connection = false;
  // Called on a worker thread for each part of a 2xx body; false cancels.
  std::function<bool(std::string_view)> on_data;
  // Called once on a worker thread.
  std::function<void(CallOutcome)> on_done;
};

using CallId = uint64_t;

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
