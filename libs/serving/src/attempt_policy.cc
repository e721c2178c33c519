// Retries and failures.
#include "serving/attempt_policy.h"

namespace bilberrypitch {
namespace {

constexpr Millis kLeastTime{60};
constexpr uint32_t kMostSends = 8;

bool MaySendAgain(const AttemptState& facts) {
  if (facts.time_left < kLeastTime || facts.attempts >= kMostSends) {
    return false;
  }
  if (!facts.may_have_run) {
    return !facts.response_started;
  }
  bool repeatable = facts.kind == RequestKind::kIdempotent || facts.resumable;
  return repeatable && facts.upstreams_maybe_run < facts.max_upstreams;
}

}  // namespace

AttemptDecision DecideNextStep(const AttemptState& facts) {
  AttemptDecision decision;
  bool again =
      facts.end != AttemptOutcome::kDeadlineExceeded && MaySendAgain(facts);
  if (again && facts.response_started) {
    decision.step = facts.resumable ? NextStep::kResume : NextStep::kFail;
  } else if (again) {
    decision.step = NextStep::kRetry;
  } else if (facts.end == AttemptOutcome::kErrorResponse) {
    decision.step = NextStep::kForwardResponse;
  }
  if (decision.step == NextStep::kFail) {
    decision.error = ErrorForCaller(facts);
  }
  return decision;
}

Error ErrorForCaller(const AttemptState& facts) {
  if (!facts.may_have_run) {
    return {ErrorKind::kUpstreamUnavailable,
            "No upstream took the request; it has not run.", NotRun::kTrue};
  }
  switch (facts.end) {
    case AttemptOutcome::kDeadlineExceeded:
    case AttemptOutcome::kNoResponse:
      return {ErrorKind::kUpstreamTimeout,
              "The upstream did not answer in time.", NotRun::kUnknown};
    case AttemptOutcome::kInvalidResponse:
      return {ErrorKind::kWrongAnswer,
              "The upstream's answer was not one to this request.",
              NotRun::kUnknown};
    default:
      return {ErrorKind::kOutcomeUnknown,
              "The upstream failed; the request may have run.",
              NotRun::kUnknown};
  }
}

}  // namespace bilberrypitch
