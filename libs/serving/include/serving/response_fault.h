// Why the bytes that an upstream sent in response to a request are not passed
// on as its answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bilberrypitch {

enum class ResponseFault : uint8_t {
  kNone,
  kOtherRequest,     // It names another request.
  kNamesNone,        // It names none, on a connection that was used before.
  kUnsigned,         // A success, or an error to pass on, without signature.
  kMalformed,        // The head or the framing can't be read.
  kTooLarge,         // It exceeds the limit of a response.
  kMalformedEvents,  // The body is no series of events.
  kTooManyEvents,    // More than the request may produce.
  // An event that may be of another response, on a connection that was used
  // before.
  kDoubtfulEvent,
  kUnboundedBody,  // Nothing bounds it, on a connection that was used before.
  kSurplusBytes,   // Bytes stood behind it, so others may stand before it.
  // Bounded by chunks or by nothing, and it holds the head of another response.
  kEmbeddedResponse,
  kEncodedBody,    // An encoding that nobody asked for.
  kContradiction,  // A success that says that the request has not run.
};

inline constexpr size_t kResponseFaultCount =
    static_cast<size_t>(ResponseFault::kContradiction) + 1;

// Returns the name in log lines and metrics; "none" for kNone.
std::string_view NameOf(ResponseFault fault);
// Whether the bytes may be of another response, so that connections to the
// upstream should not be used again.
bool SpeaksAgainstReuse(ResponseFault fault);

}  // namespace bilberrypitch
