// One call over HTTP: what is sent, its deadlines, and how it ended.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/strong.h"
#include "transport/http_message.h"

namespace bilberrypitch {

// How a call ended.
enum class CallResult : uint8_t {
  kComplete,          // An answer with its proper end.
  kConnectFailed,     // No connection could be made: nothing was sent.
  kConnectTimeout,    // The peer did not take the connection: nothing was sent.
  kConnectionBroken,  // The connection broke after the request may have been
                      // read.
  kStalled,           // No progress within the deadline on an open connection.
  kTotalTimeout,      // The whole deadline passed.
  kResponseTooLarge,  // The answer exceeds the bound.
  kCancelled,         // By the caller of Start.
};

// True only when the upstream can't have seen the request.
constexpr bool DefinitelyNotSent(CallResult result) {
  return result == CallResult::kConnectFailed ||
         result == CallResult::kConnectTimeout;
}

struct CallTimeouts {
  Millis connect{1000};
  Millis first_byte{60 * 1000};  // From start to the first byte of the answer.
  Millis idle{30 * 1000};        // Between two bytes of the answer.
  Millis total{600 * 1000};
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
  CallTimeouts timeouts;
  size_t max_response_bytes = 8 << 20;
  // A connection of its own, never reused before or after. libcurl silently
  // sends a request again when a reused connection closes before the answer;
  // a call that must run at most once sets this or `send_once`.
  bool dedicated_connection = false;
  // Never sent a second time by libcurl, also on a reused connection. Needs a
  // body: a call without one gets a new connection instead.
  bool send_once = false;
  // A kept connection that was idle for longer is not used; 0: any.
  int max_connection_idle_s = 0;
  // Called once with status and header fields of the final answer, before its
  // body; false cancels. May be empty.
  std::function<bool(int status, const HttpHeaders& headers)> on_headers;
  // Called for each part of a 2xx body; false cancels.
  std::function<bool(std::string_view)> on_data;
  // Called once.
  std::function<void(CallOutcome)> on_done;
};

using CallId = uint64_t;

}  // namespace bilberrypitch
