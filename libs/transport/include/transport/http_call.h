// An outgoing HTTP call: its request, its timeouts and its outcome.
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
  // The response was received completely.
  kComplete,
  // No connection could be established; nothing was sent.
  kConnectFailed,
  // The peer did not accept the connection in time; nothing was sent.
  kConnectTimeout,
  // The connection failed after the peer may have read the request.
  kConnectionBroken,
  // The connection stayed open, but no byte arrived within the first-byte or
  // the idle timeout.
  kStalled,
  // The total timeout expired.
  kTotalTimeout,
  // The response body exceeds `max_response_bytes`.
  kResponseTooLarge,
  // What arrived is not one response.
  kMalformedResponse,
  // Cancelled by Cancel, by a callback or by the client's destructor.
  kCancelled,
};

// True only when the upstream can't have received the request.
constexpr bool DefinitelyNotSent(CallResult result) {
  return result == CallResult::kConnectFailed ||
         result == CallResult::kConnectTimeout;
}

// All timeouts are durations.
struct CallTimeouts {
  Millis connect{1000};
  Millis first_byte{60 * 1000};  // From the start to the first response byte.
  Millis idle{30 * 1000};        // Between two bytes of the response.
  Millis total{600 * 1000};      // From the start to the end of the call.
};

// What marks the end of a response's body.
enum class BodyFraming : uint8_t {
  kLength,      // A length, or there can't be a body.
  kChunked,     // The last chunk.
  kUntilClose,  // Neither: the end of the connection.
};

// Returns the name in log lines.
constexpr std::string_view NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kUntilClose:
      return "close";
  }
  return "unknown";
}

// What stood on the connection behind a complete response with a length or
// chunks when the call ended. Such bytes belong to no request, and their
// connection is not used again.
enum class TrailingBytes : uint8_t {
  kNone,
  kNextResponse,  // They begin like a response.
  kUnknown,       // Other bytes, or bytes that were dropped unseen.
};

struct CallOutcome {
  CallResult result = CallResult::kCancelled;
  int status = 0;
  HttpHeaders headers;
  std::string body;                // Empty when `on_data` received it.
  bool reused_connection = false;  // No connection was opened.
  TrailingBytes trailing = TrailingBytes::kNone;
};

// What is known when the head of a response has arrived.
struct ResponseStart {
  int status = 0;
  HttpHeaders headers;
  // Earlier calls used the connection, so this may answer one of them.
  bool reused_connection = false;
  BodyFraming framing = BodyFraming::kUntilClose;
};

struct HttpCall {
  std::string method = "GET";
  std::string address;  // IP:port.
  std::string target;   // Path and query.
  HttpHeaders headers;
  std::string body;
  CallTimeouts timeouts;
  size_t max_response_bytes = 8 << 20;
  // Opens a new connection for this call and closes it afterwards. libcurl
  // silently resends a request when a pooled connection closes before the
  // response, so a call that must run at most once sets this or `send_once`.
  bool dedicated_connection = false;
  // Prevents libcurl from resending the request on a pooled connection. This
  // requires a body; a call without one gets a new connection instead.
  bool send_once = false;
  // Opens a new connection for this call, which may be used again afterwards.
  // Nothing that was sent in response to an earlier call can arrive there.
  bool new_connection = false;
  // Pooled connections that were idle for longer, in seconds, are not used. 0
  // means no limit.
  int max_connection_idle_s = 0;
  // Called once with the head of the final response, before its body. Returning
  // false cancels the call. May be empty.
  std::function<bool(const ResponseStart&)> on_headers;
  // Called with each part of a 2xx body, which is then not buffered. Returning
  // false cancels the call. May be empty.
  std::function<bool(std::string_view)> on_data;
  // Called once, when the call has ended. May be empty.
  std::function<void(CallOutcome)> on_done;
};

// Identifies a call within one client.
using CallId = uint64_t;

}  // namespace bilberrypitch
