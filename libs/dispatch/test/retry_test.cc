// Tests of retries and claims: at most once, "not run" only when true, and no
// storm.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dispatch/claim.h"
#include "dispatch/retry_policy.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {
namespace {

bool MayHaveRun(AttemptFailure failure) {
  return failure != AttemptFailure::kNotSent &&
         failure != AttemptFailure::kRefusedUnrun;
}

}  // namespace

TEST_CASE("a call that may have run is never repeated unless idempotent") {
  REQUIRE(rc::check("at most once", [] {
    AttemptFacts facts;
    facts.failure = static_cast<AttemptFailure>(*rc::gen::inRange(0, 7));
    facts.idempotent = *rc::gen::arbitrary<bool>();
    facts.answer_begun = *rc::gen::arbitrary<bool>();
    facts.ran_before = *rc::gen::arbitrary<bool>();
    facts.attempts = *rc::gen::inRange(1, 6);
    facts.remaining = Millis(*rc::gen::inRange(0, 1000));
    RetryBudget budget;
    RetryDecision decision = DecideRetry(facts, &budget);
    if (decision.retry) {
      RC_ASSERT(facts.idempotent || !MayHaveRun(facts.failure));
      RC_ASSERT(!facts.answer_begun);
    } else if (decision.error.not_run == NotRun::kTrue) {
      RC_ASSERT(!MayHaveRun(facts.failure) && !facts.ran_before);
    }
  }));
}

TEST_CASE("retries stay a fixed part of the load when all attempts fail") {
  RetryBudget budget;
  int attempts = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnFirstAttempt();
    AttemptFacts facts;
    facts.failure = AttemptFailure::kBroken;
    facts.idempotent = true;
    facts.remaining = Millis(10000);
    facts.attempts = 1;
    ++attempts;
    while (DecideRetry(facts, &budget).retry) {
      ++attempts;
      ++facts.attempts;
    }
  }
  REQUIRE(attempts <= kRequests * 1.21);
}

TEST_CASE("a lost answer of the store is settled by whose claim stands") {
  schema::Claim claim;
  claim.set_claim_id("mine");
  claim.set_fingerprint("f");
  REQUIRE(JudgeClaim(nullptr, "mine", "f") == ClaimVerdict::kAbsent);
  REQUIRE(JudgeClaim(&claim, "mine", "f") == ClaimVerdict::kOwn);
  REQUIRE(JudgeClaim(&claim, "other", "f") == ClaimVerdict::kInUse);
  REQUIRE(JudgeClaim(&claim, "other", "g") == ClaimVerdict::kReused);
  claim.set_finished(true);
  REQUIRE(JudgeClaim(&claim, "other", "f") == ClaimVerdict::kFinished);
  REQUIRE(ClaimKey(WorkspaceId("a"), "k") != ClaimKey(WorkspaceId("b"), "k"));
}

}  // namespace bilberrypitch
