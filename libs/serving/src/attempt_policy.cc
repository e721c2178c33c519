// Retries and failures.
#include "serving/attempt_policy.h"

namespace bilberrypitch {
namespace {

constexpr Millis kLeastTime{60};
constexpr uint32_t kMostSends = 8;

bool MaySendAgain(const SendFacts& facts) {
  if (facts.time_left < kLeastTime || facts.sends >= kMostSends) {
    return false;
  }
  if (!facts.may_have_run) {
    return !facts.answer_begun;
  }
  bool repeatable = facts.kind == RequestKind::kIdempotent || facts.resumable;
  return repeatable && facts.upstreams_run < facts.max_upstreams;
}

}  // namespace

SendDecision DecideNext(const SendFacts& facts) {
  SendDecision decision;
  bool again = facts.end != SendEnd::kTimeUp && MaySendAgain(facts);
  if (again && facts.answer_begun) {
    decision.step = facts.resumable ? NextStep::kResume : NextStep::kFail;
  } else if (again) {
    decision.step = NextStep::kSendAgain;
  } else if (facts.end == SendEnd::kFailedAnswer) {
    decision.step = NextStep::kPassAnswer;
  }
  if (decision.step == NextStep::kFail) {
    decision.error = FailureOf(facts);
  }
  return decision;
}

Error FailureOf(const SendFacts& facts) {
  if (!facts.may_have_run) {
    return {ErrorKind::kUpstreamUnavailable,
            "No upstream took the request; it has not run.", NotRun::kTrue};
  }
  switch (facts.end) {
    case SendEnd::kTimeUp:
    case SendEnd::kSilent:
      return {ErrorKind::kUpstreamTimeout,
              "The upstream did not answer in time.", NotRun::kUnknown};
    case SendEnd::kWrongAnswer:
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
