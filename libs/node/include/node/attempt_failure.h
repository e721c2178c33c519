// What a call that ended without an answer means for the request it carried.
#pragma once

#include "dispatch/retry_policy.h"
#include "transport/http_client.h"

namespace bilberrypitch {

inline AttemptFailure FailureOf(CallResult result) {
  switch (result) {
    case CallResult::kRefused:
    case CallResult::kConnectTimeout:
      return AttemptFailure::kNotSent;
    case CallResult::kSilent:
      return AttemptFailure::kSilent;
    case CallResult::kTooLong:
      return AttemptFailure::kTooLong;
    case CallResult::kTooLarge:
      return AttemptFailure::kTooLarge;
    case CallResult::kComplete:
    case CallResult::kBroken:
    case CallResult::kCancelled:
      break;
  }
  return AttemptFailure::kBroken;
}

}  // namespace bilberrypitch
