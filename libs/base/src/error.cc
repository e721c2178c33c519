// Implements the table of responses for error kinds.
#include "base/error.h"

#include <array>

#include "base/check.h"

namespace bilberrypitch {
namespace {

// Indexed by ErrorKind.
constexpr std::array<ErrorKindInfo, kErrorKindCount> kErrorKindInfos = {{
    {ErrorKind::kMalformedRequest, "malformed_request", 400, 0},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, 0},
    {ErrorKind::kHeadersTooLarge, "headers_too_large", 431, 0},
    {ErrorKind::kUnauthenticated, "unauthenticated", 401, 0},
    {ErrorKind::kNotFound, "not_found", 404, 0},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405, 0},
    {ErrorKind::kRateLimited, "rate_limited", 429, 1},
    {ErrorKind::kQueueTimeout, "queue_timeout", 503, 1},
    {ErrorKind::kUpstreamUnavailable, "upstream_unavailable", 503, 1},
    {ErrorKind::kStreamNotResumable, "stream_not_resumable", 503, 0},
    {ErrorKind::kUpstreamTimeout, "upstream_timeout", 504, 0},
    {ErrorKind::kInvalidResponse, "wrong_answer", 502, 0},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, 0},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503, 2},
    {ErrorKind::kStopping, "stopping", 503, 1},
    {ErrorKind::kKeyRevoked, "key_withdrawn", 401, 0},
    {ErrorKind::kRequestTimeout, "request_timeout", 408, 0},
    {ErrorKind::kOverloaded, "overloaded", 503, 1},
    {ErrorKind::kInternal, "internal", 500, 0},
}};

}  // namespace

const ErrorKindInfo& ErrorInfoFor(ErrorKind kind) {
  const ErrorKindInfo& info = kErrorKindInfos.at(static_cast<size_t>(kind));
  BP_CHECK(info.kind == kind, "the table must be in the order of ErrorKind");
  return info;
}

std::string_view NotRunName(NotRun not_run) {
  switch (not_run) {
    case NotRun::kTrue:
      return "true";
    case NotRun::kFalse:
      return "false";
    case NotRun::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace bilberrypitch
