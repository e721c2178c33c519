// Retries.
#include "dispatch/retry_policy.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

constexpr double kRetriesPerAttempt = 0.2;
constexpr double kMostSaved = 20;
constexpr int kMostAttempts = 4;
constexpr Millis kLeastRemaining{50};

bool SurelyUnrun(AttemptFailure failure) {
  return failure == AttemptFailure::kNotSent ||
         failure == AttemptFailure::kRefusedUnrun;
}

ErrorKind KindOf(const AttemptFacts& facts) {
  switch (facts.failure) {
    case AttemptFailure::kNotSent:
    case AttemptFailure::kRefusedUnrun:
      return ErrorKind::kUpstreamUnavailable;
    case AttemptFailure::kTooLong:
    case AttemptFailure::kSilent:
      return ErrorKind::kUpstreamTimeout;
    case AttemptFailure::kWrongAnswer:
    case AttemptFailure::kTooLarge:
      return ErrorKind::kWrongAnswer;
    case AttemptFailure::kBroken:
      break;
  }
  return ErrorKind::kUpstreamFailed;
}

std::string_view DetailOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "No upstream could be reached.";
    case AttemptFailure::kRefusedUnrun:
      return "The upstream refused the request.";
    case AttemptFailure::kBroken:
      return "The connection to the upstream broke.";
    case AttemptFailure::kSilent:
      return "The upstream stopped answering.";
    case AttemptFailure::kTooLong:
      return "The request took too long.";
    case AttemptFailure::kWrongAnswer:
      return "The upstream's answer was not whole or not to this request.";
    case AttemptFailure::kTooLarge:
      return "The upstream's answer is too large.";
  }
  return "";
}

Error ErrorFor(const AttemptFacts& facts) {
  Error error;
  error.detail = DetailOf(facts.failure);
  bool unrun = SurelyUnrun(facts.failure) && !facts.ran_before;
  if (unrun) {
    error.kind = KindOf(facts);
    error.not_run = NotRun::kTrue;
    return error;
  }
  error.kind = facts.idempotent ? KindOf(facts) : ErrorKind::kOutcomeUnknown;
  error.not_run = facts.answer_begun ? NotRun::kFalse : NotRun::kUnknown;
  return error;
}

}  // namespace

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(kMostSaved, tokens_ + kRetriesPerAttempt);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

RetryDecision DecideRetry(const AttemptFacts& facts, RetryBudget* budget) {
  RetryDecision decision;
  bool repeatable = facts.idempotent || SurelyUnrun(facts.failure);
  bool worth = facts.failure != AttemptFailure::kTooLarge &&
               facts.failure != AttemptFailure::kTooLong;
  bool allowed = repeatable && worth && !facts.answer_begun &&
                 facts.attempts < kMostAttempts &&
                 facts.remaining > kLeastRemaining;
  if (allowed && budget->TryTake()) {
    decision.retry = true;
    decision.fresh_connection = facts.failure == AttemptFailure::kSilent ||
                                facts.failure == AttemptFailure::kBroken;
    return decision;
  }
  decision.error = ErrorFor(facts);
  return decision;
}

}  // namespace bilberrypitch
