// Tests of the slowdown and the concurrency limit of an upstream.
#include "serving/capacity_estimate.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

constexpr uint32_t kSlots = 6;

void Report(CapacityEstimate* estimate, double slowdown, int64_t at_ms) {
  estimate->OnReport({3, 0, kSlots, slowdown}, Millis(at_ms));
}

// Requests one after the other, each of which takes `latency_ms`. Returns when
// the last one ended.
int64_t Complete(CapacityEstimate* estimate, int n, int64_t latency_ms,
                 int64_t at_ms) {
  for (int i = 0; i < n; ++i) {
    estimate->OnAttemptBegun(Millis(at_ms));
    estimate->OnAttemptEnded(Millis(at_ms), true, Millis(at_ms + latency_ms));
    at_ms += latency_ms;
  }
  return at_ms;
}

}  // namespace

TEST_CASE("a stated figure is followed within a second", "[capacity]") {
  CapacityEstimate estimate;
  Millis now(5000);
  REQUIRE_FALSE(estimate.IsInEffect(now));
  REQUIRE(estimate.Slowdown(now) == 1);
  REQUIRE(estimate.ConcurrencyLimit(kSlots) == kSlots);
  // Many times a second, or once a second.
  const int64_t step = GENERATE(50, 1000);
  for (int64_t at = 1000; at <= 2000; at += step) {
    Report(&estimate, 1.05, at);
  }
  REQUIRE(estimate.Slowdown(Millis(2000)) == 1);
  REQUIRE(estimate.IsInEffect(Millis(2000)));
  for (int64_t at = 2000 + step; at <= 3000; at += step) {
    Report(&estimate, 4, at);
  }
  REQUIRE(estimate.Slowdown(Millis(3000)) > 3.5);
  REQUIRE(estimate.ConcurrencyLimit(kSlots) < 4);
  REQUIRE(estimate.ConcurrencyLimit(kSlots) >= 1);
  REQUIRE(estimate.is_slow());
  for (int64_t at = 3000 + step; at <= 7000; at += step) {
    Report(&estimate, 1, at);
  }
  REQUIRE(estimate.Slowdown(Millis(7000)) == 1);
  REQUIRE(estimate.ConcurrencyLimit(kSlots) > 5.5);
  REQUIRE_FALSE(estimate.is_slow());
}

// Guards against: an upstream counts as slow because of one longer request.
TEST_CASE("latencies show a slowdown only if they differ clearly",
          "[capacity]") {
  CapacityEstimate estimate;
  int64_t at = 1000;
  for (int i = 0; i < 20; ++i) {
    at = Complete(&estimate, 1, i % 2 == 0 ? 20 : 55, at);
    REQUIRE_FALSE(estimate.IsInEffect(Millis(at)));
  }
  at = Complete(&estimate, 2, 200, at);
  REQUIRE(estimate.Slowdown(Millis(at)) > 2);
  REQUIRE(estimate.is_slow());
  at = Complete(&estimate, 20, 40, at);
  REQUIRE(estimate.Slowdown(Millis(at)) == 1);
  REQUIRE_FALSE(estimate.is_slow());
}

// Guards against: an upstream that hangs gets requests until the first of them
// ends, or one lost response counts as a slow upstream.
TEST_CASE("an open attempt counts while nothing else is heard", "[capacity]") {
  CapacityEstimate estimate;
  int64_t at = Complete(&estimate, 10, 40, 1000) + 1;
  estimate.OnAttemptBegun(Millis(at));
  REQUIRE(estimate.Slowdown(Millis(at + 100)) == 1);
  REQUIRE(estimate.Slowdown(Millis(at + 400)) > 8);
  Complete(&estimate, 1, 40, at + 400);
  REQUIRE(estimate.Slowdown(Millis(at + 500)) == 1);
  estimate.OnAttemptEnded(Millis(at), false, Millis(at + 600));
  REQUIRE(estimate.Slowdown(Millis(at + 600)) == 1);
}

// Guards against: an upstream that was slow once never gets a request again.
TEST_CASE("a slow upstream is probed, and old samples are forgotten",
          "[capacity]") {
  CapacityEstimate estimate;
  Report(&estimate, 5, 1000);
  REQUIRE_FALSE(estimate.ProbeDue(0, Millis(1300)));
  REQUIRE(estimate.ProbeDue(0.02, Millis(1500)));
  REQUIRE_FALSE(estimate.ProbeDue(0.03, Millis(1500)));
  REQUIRE(estimate.ProbeDue(0.4, Millis(60 * 1000)));
  REQUIRE_FALSE(estimate.ProbeDue(0.6, Millis(60 * 1000)));
  REQUIRE(estimate.Slowdown(Millis(10 * 1000)) == 5);
  REQUIRE(estimate.Slowdown(Millis(60 * 1000)) < 1.1);
}

// Guards against: each response of a slow upstream becomes a message to all.
TEST_CASE("news is sent if it differs from what others know", "[capacity]") {
  CapacityEstimate estimate;
  Report(&estimate, 1.1, 1000);
  REQUIRE_FALSE(estimate.IsNewsDue(Millis(1000)));
  Report(&estimate, 3, 2000);
  REQUIRE(estimate.IsNewsDue(Millis(2000)));
  estimate.OnNewsSent(Millis(2000));
  Report(&estimate, 3.1, 2100);
  REQUIRE_FALSE(estimate.IsNewsDue(Millis(2100)));
  Report(&estimate, 3.1, 2600);
  REQUIRE(estimate.IsNewsDue(Millis(2600)));
  estimate.OnNews(3.1, Millis(2610));  // Another instance was first.
  REQUIRE_FALSE(estimate.IsNewsDue(Millis(2610)));
  REQUIRE_FALSE(estimate.IsNewsDue(Millis(9000)));  // Nothing of its own.
}

}  // namespace bilberrypitch
