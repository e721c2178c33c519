// Tests of cold periods: which entries state something new, and when they end.
#include "serving/cold_period.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {

// Guards against: each heartbeat of a cold upstream goes to all instances.
TEST_CASE("entries that only count down state nothing new", "[cold]") {
  ColdPeriod cold;
  REQUIRE_FALSE(cold.OnEntry(Millis(0), false, Millis(500)));
  REQUIRE(cold.OnEntry(Millis(20000), false, Millis(1000)));
  // Each heartbeat arrives up to 700 ms late.
  int news = 0;
  for (int64_t sent = 2200; sent < 21000; sent += 1200) {
    Millis arrived(sent + sent * 7 % 700);
    news += cold.OnEntry(Millis(21000 - sent), false, arrived) ? 1 : 0;
    REQUIRE(cold.IsCold(Millis(20999)));
  }
  REQUIRE(news <= 2);
  REQUIRE_FALSE(cold.OnEntry(Millis(0), false, Millis(21500)));
  REQUIRE_FALSE(cold.IsCold(Millis(21500)));
}

// Guards against: only the instance that reads the store learns of a new cold
// period, or of an early end.
TEST_CASE("a new cold period and an early end are news", "[cold]") {
  ColdPeriod cold;
  REQUIRE(cold.OnEntry(Millis(3000), false, Millis(1000)));
  REQUIRE(cold.OnEntry(Millis(2500), false, Millis(3800)));
  REQUIRE(cold.IsCold(Millis(6200)));
  REQUIRE(cold.OnEntry(Millis(9000), false, Millis(8000)));
  REQUIRE(cold.OnEntry(Millis(0), false, Millis(9000)));
  REQUIRE_FALSE(cold.IsCold(Millis(9000)));
}

// Guards against: small delays add up until the others take it for warm much
// earlier.
TEST_CASE("an end that moves on step by step is told at some point", "[cold]") {
  ColdPeriod cold;
  REQUIRE(cold.OnEntry(Millis(10000), false, Millis(1000)));
  Millis told(11000);
  for (int i = 1; i <= 20; ++i) {
    Millis now(1000 + 300 * i);
    Millis left(10000 - 200 * i);
    if (cold.OnEntry(left, false, now)) {
      told = now + left;
    }
    REQUIRE(cold.until() <= told + Millis(250));
  }
}

TEST_CASE("an assumed cold period lasts until the next entry", "[cold]") {
  ColdPeriod cold;
  cold.Assume(Millis(15000), Millis(1000));
  REQUIRE(cold.IsCold(Millis(15999)));
  REQUIRE_FALSE(cold.IsCold(Millis(16000)));
  SECTION("that says it is warm") {
    REQUIRE(cold.OnEntry(Millis(0), false, Millis(2000)));
    REQUIRE_FALSE(cold.IsCold(Millis(2000)));
  }
  SECTION("that says how long it is cold") {
    REQUIRE(cold.OnEntry(Millis(4000), false, Millis(2000)));
    REQUIRE(cold.until() == Millis(6000));
  }
  SECTION("but not until that of a copy, which is older") {
    REQUIRE_FALSE(cold.OnEntry(Millis(0), true, Millis(2000)));
    REQUIRE(cold.until() == Millis(16000));
  }
}

}  // namespace bilberrypitch
