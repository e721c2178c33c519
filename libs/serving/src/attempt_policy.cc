// Rules for retries, and the errors reported to callers.
#include "serving/attempt_policy.h"

namespace bilberrypitch {
namespace {

// With less time left, no further attempt is started.
constexpr Millis kMinTimeLeft{60};
constexpr uint32_t kMaxAttempts = 8;

bool MayRetry(const AttemptState& state) {
  if (state.time_left < kMinTimeLeft || state.attempts >= kMaxAttempts) {
    return false;
  }
  if (!state.may_have_run) {
    return !state.response_started;
  }
  bool repeatable = state.kind == RequestKind::kIdempotent || state.resumable;
  return repeatable && state.upstreams_maybe_run < state.max_upstreams;
}

}  // namespace

AttemptDecision DecideNextStep(const AttemptState& state) {
  AttemptDecision decision;
  bool may_retry =
      state.end != AttemptOutcome::kDeadlineExceeded && MayRetry(state);
  if (may_retry && state.response_started) {
    decision.step = state.resumable ? NextStep::kResume : NextStep::kFail;
  } else if (may_retry) {
    decision.step = NextStep::kRetry;
  } else if (state.end == AttemptOutcome::kErrorResponse) {
    decision.step = NextStep::kForwardResponse;
  }
  if (decision.step == NextStep::kFail) {
    decision.error = ErrorForCaller(state);
  }
  return decision;
}

Error ErrorForCaller(const AttemptState& state) {
  if (!state.may_have_run) {
    return {ErrorKind::kUpstreamUnavailable,
            "No upstream took the request; it has not run.", NotRun::kTrue};
  }
  switch (state.end) {
    case AttemptOutcome::kDeadlineExceeded:
    case AttemptOutcome::kNoResponse:
      return {ErrorKind::kUpstreamTimeout,
              "The upstream did not answer in time.", NotRun::kUnknown};
    case AttemptOutcome::kInvalidResponse:
      return {ErrorKind::kInvalidResponse,
              "The upstream's answer was not one to this request.",
              NotRun::kUnknown};
    default:
      return {ErrorKind::kOutcomeUnknown,
              "The upstream failed; the request may have run.",
              NotRun::kUnknown};
  }
}

}  // namespace bilberrypitch
