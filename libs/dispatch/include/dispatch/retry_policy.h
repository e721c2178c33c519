// Whether a failed attempt is repeated, and what its caller is told.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/error.h"
#include "base/strong.h"

namespace bilberrypitch {

// How an attempt at an upstream ended without a usable answer.
enum class AttemptFailure : uint8_t {
  kNotSent,       // No connection: the upstream can't have seen it.
  kRefusedUnrun,  // The upstream said that it did not run it.
  kBroken,        // The connection broke after the request was sent.
  kSilent,        // No progress on the connection.
  kTooLong,       // The deadline passed.
  kWrongAnswer,   // An answer to something else, or without its end.
  kTooLarge,
};

struct AttemptFacts {
  AttemptFailure failure = AttemptFailure::kNotSent;
  bool idempotent = false;
  bool answer_begun = false;  // The caller has got a part of an answer.
  bool ran_before = false;    // An earlier attempt may have run.
  int attempts = 1;
  Millis remaining;  // Until the caller's deadline.
};

struct RetryDecision {
  bool retry = false;
  bool fresh_connection = false;
  Error error;  // What the caller is told when it is not retried.
};

// A bucket that lets retries be a fixed part of the first attempts, so that
// a failing upstream is never hit by a multiple of its load.
class RetryBudget {
 public:
  void OnFirstAttempt();
  bool TryTake();
  double available() const { return tokens_; }

 private:
  double tokens_ = 10;
};

// `budget` is asked only when all else allows a retry.
RetryDecision DecideRetry(const AttemptFacts& facts, RetryBudget* budget);

}  // namespace bilberrypitch
