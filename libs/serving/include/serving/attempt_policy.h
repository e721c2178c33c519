// What follows an attempt at an upstream that gave no answer to pass on.
//
// 408, 421, 429 and 503 promise that the request has not run and never will:
// they are given only when no attempt can have reached an upstream, or each
// that did was refused unrun. Everything else is 502 or 504, or the end of the
// connection when the answer had begun.
#pragma once

#include <cstdint>

#include "base/error.h"
#include "base/strong.h"
#include "serving/config.h"

namespace bilberrypitch {

enum class AttemptOutcome : uint8_t {
  kNotSent,           // No connection was made.
  kRejectedNotRun,    // The upstream states that it did not run it.
  kErrorResponse,     // A whole answer that tells of the upstream's failure.
  kInvalidResponse,   // To another request, unsigned, or no valid answer.
  kConnectionBroken,  // The connection broke after the send.
  kNoResponse,        // No answer in the time that a sound upstream needs.
  kDeadlineExceeded,  // The time for the whole request is over.
};

struct AttemptState {
  AttemptOutcome end = AttemptOutcome::kNotSent;
  RequestKind kind = RequestKind::kNonIdempotent;
  bool resumable = false;
  bool response_started = false;     // The caller has got a part of it.
  bool may_have_run = false;         // This attempt or one before.
  uint32_t upstreams_maybe_run = 0;  // That may have run it so far.
  uint32_t max_upstreams = 1;
  uint32_t attempts = 0;  // Attempts so far.
  Millis time_left;
};

enum class NextStep : uint8_t {
  kRetry,            // From the beginning.
  kResume,           // After the last event that the caller got.
  kForwardResponse,  // Pass on the upstream's own failure.
  kFail,             // Answer with `error`, or break the answer off.
};

struct AttemptDecision {
  NextStep step = NextStep::kFail;
  Error error;
};

// What is possible without regard to the retry allowance, which the caller
// asks before it follows kRetry or kResume; when that refuses, it calls
// ErrorForCaller.
AttemptDecision DecideNextStep(const AttemptState& facts);
// The failure that the caller is told.
Error ErrorForCaller(const AttemptState& facts);

}  // namespace bilberrypitch
