// The error kinds of the program, and the HTTP response for each kind.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

// The closed list of error kinds.
enum class ErrorKind : uint8_t {
  kMalformedRequest,
  kBodyTooLarge,
  kHeadersTooLarge,
  kUnauthenticated,
  kNotFound,
  kMethodNotAllowed,
  kRateLimited,
  kQueueTimeout,
  kUpstreamUnavailable,
  kStreamNotResumable,
  kUpstreamTimeout,
  kInvalidResponse,
  kOutcomeUnknown,
  kStoreUnavailable,
  kStopping,
  kKeyRevoked,
  kRequestTimeout,
  kOverloaded,
  kInternal,
};

inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// Whether no upstream ran the request. kTrue and kFalse are proven; kUnknown
// applies whenever the process can prove neither.
enum class NotRun : uint8_t { kTrue, kFalse, kUnknown };

// The response to a caller for an error kind.
struct ErrorKindInfo {
  ErrorKind kind;
  std::string_view name;  // Stable; part of the public API.
  int http_status;
  int retry_after_s;  // 0: no Retry-After, because a retry does not help.
};

// Returns the response for `kind`.
const ErrorKindInfo& ErrorInfoFor(ErrorKind kind);
// Returns "true", "false" or "unknown".
std::string_view NotRunName(NotRun not_run);

// An error as it is passed through the program, also as a Boost.LEAF payload.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;  // Must not contain an API key.
  NotRun not_run = NotRun::kTrue;
};

}  // namespace bilberrypitch
