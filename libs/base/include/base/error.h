// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

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
  kUpstreamTimeout,
  kWrongAnswer,
  kOutcomeUnknown,
  kStoreUnavailable,
  kStopping,
  kKeyWithdrawn,
  kInternal,
};

inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// Whether the request reached an upstream. `kUnknown` is said whenever the
// process can't prove one of the others.
enum class NotRun : uint8_t { kTrue, kFalse, kUnknown };

// What a caller is told for a kind of error.
struct ErrorKindInfo {
  ErrorKind kind;
  std::string_view name;  // Stable; part of the interface.
  int http_status;        // HTTP status.
  int retry_after_s;      // 0: no Retry-After; a retry does not help.
};

// One row of the table.
const ErrorKindInfo& ErrorInfoFor(ErrorKind kind);
std::string_view NotRunName(NotRun not_run);

// An error as it travels through the program (also as a Boost.LEAF payload).
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;  // Never holds a key.
  NotRun not_run = NotRun::kTrue;
};

}  // namespace bilberrypitch
