// Names of the reasons for which responses are refused.
#include "serving/response_fault.h"

namespace bilberrypitch {

std::string_view NameOf(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "none";
    case ResponseFault::kOtherRequest:
      return "other_request";
    case ResponseFault::kNamesNone:
      return "names_none";
    case ResponseFault::kUnsigned:
      return "unsigned";
    case ResponseFault::kMalformed:
      return "malformed";
    case ResponseFault::kTooLarge:
      return "too_large";
    case ResponseFault::kMalformedEvents:
      return "malformed_events";
    case ResponseFault::kTooManyEvents:
      return "too_many_events";
    case ResponseFault::kDoubtfulEvent:
      return "doubtful_event";
    case ResponseFault::kUnboundedBody:
      return "unbounded_body";
    case ResponseFault::kSurplusBytes:
      return "surplus_bytes";
    case ResponseFault::kEmbeddedResponse:
      return "embedded_response";
    case ResponseFault::kEncodedBody:
      return "encoded_body";
    case ResponseFault::kContradiction:
      return "contradiction";
  }
  return "unknown";
}

bool SpeaksAgainstReuse(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
    case ResponseFault::kUnsigned:
    case ResponseFault::kTooLarge:
    case ResponseFault::kTooManyEvents:
    case ResponseFault::kEncodedBody:
    case ResponseFault::kContradiction:
      return false;
    default:
      return true;
  }
}

}  // namespace bilberrypitch
