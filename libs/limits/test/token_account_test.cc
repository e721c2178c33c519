// Tests of one workspace's tokens, one failure each.
#include "limits/token_account.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

const BootId kA("a");
const BootId kB("b");

void Deliver(const TokenAccount& from, const BootId& name, TokenAccount* to,
             const BootId& to_name, Millis age, Millis now) {
  to->OnTotals(name, from.TotalsFor(to_name), age, now);
}

}  // namespace

TEST_CASE("a part mints at its rate up to its burst") {
  TokenAccount account;
  account.SetPart(10, 50, Millis(0));
  REQUIRE_FALSE(account.Reserve(1, Millis(0)));
  REQUIRE(account.Tokens(Millis(1000)) == Approx(10));
  REQUIRE(account.Tokens(Millis(100000)) == Approx(50));
  REQUIRE(account.Reserve(50, Millis(100000)));
  account.Refund(500, Millis(100000));
  REQUIRE(account.Tokens(Millis(100000)) == Approx(50));
}

TEST_CASE("the right to hold moves with the tokens and comes back when spent") {
  TokenAccount a;
  TokenAccount b;
  a.SetPart(10, 50, Millis(0));
  b.SetPart(10, 50, Millis(0));
  Millis now(100000);
  REQUIRE(a.Move(kB, 30, now) == Approx(30));
  REQUIRE(a.Cap() == Approx(20));
  REQUIRE(a.Tokens(now + Millis(60000)) <= 20 + 1e-6);
  Deliver(a, kA, &b, kB, Millis(10), now);
  REQUIRE(b.Tokens(now) == Approx(80));
  REQUIRE(b.Reserve(70, now));  // More than b's own part: it has gathered.
  Deliver(b, kB, &a, kA, Millis(10), now);
  REQUIRE(a.Cap() == Approx(50));
  REQUIRE(b.Cap() == Approx(50));
}

TEST_CASE("lost and doubled messages make no tokens") {
  TokenAccount a;
  TokenAccount b;
  a.SetPart(0, 50, Millis(0));
  a.SetPart(1000, 50, Millis(0));
  Millis now(1000);
  a.Tokens(now);
  a.Move(kB, 10, now);  // This message is lost,
  a.Move(kB, 5, now);   // the next one carries both.
  for (int i = 0; i < 3; ++i) Deliver(a, kA, &b, kB, Millis(1), now);
  REQUIRE(b.Tokens(now) == Approx(15));
}

TEST_CASE("moved tokens that are too old are not taken or expire") {
  TokenAccount a;
  TokenAccount b;
  a.SetPart(1000, 50, Millis(0));
  Millis now(1000);
  a.Move(kB, 10, now);
  Deliver(a, kA, &b, kB, kTokenArrival + Millis(1), now);
  REQUIRE(b.Tokens(now) == 0);
  a.Move(kB, 10, now);
  b.SetWanted(100);
  Deliver(a, kA, &b, kB, Millis(0), now);
  b.Tick(now + kTokenLife - Millis(1));
  REQUIRE(b.Tokens(now + kTokenLife) == Approx(10));
  b.Tick(now + kTokenLife);
  REQUIRE(b.Tokens(now + kTokenLife) == 0);
  Deliver(b, kB, &a, kA, Millis(0), now + kTokenLife);
  REQUIRE(a.Cap() == Approx(50));
}

TEST_CASE("what is not wanted any more goes back with its tokens") {
  TokenAccount a;
  TokenAccount b;
  a.SetPart(1000, 50, Millis(0));
  Millis now(1000);
  a.Move(kB, 40, now);
  a.SetPart(0, 50, now);
  REQUIRE(a.Tokens(now) == Approx(10));
  Deliver(a, kA, &b, kB, Millis(0), now);
  b.Tick(now + Millis(1500));
  Deliver(b, kB, &a, kA, Millis(0), now + Millis(1500));
  REQUIRE(a.Tokens(now + Millis(1500)) == Approx(50));
  REQUIRE(b.Tokens(now + Millis(1500)) == 0);
}

TEST_CASE("a lowered burst takes effect at once, also with tokens moved out") {
  TokenAccount a;
  a.SetPart(1000, 50, Millis(0));
  a.Move(kB, 40, Millis(1000));
  a.SetPart(10, 20, Millis(1000));
  REQUIRE(a.Tokens(Millis(60000)) == 0);
}

}  // namespace bilberrypitch
