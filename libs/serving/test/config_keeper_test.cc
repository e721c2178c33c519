// Tests of when the instances keep a configuration that the store has lost.
#include "serving/config_keeper.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {

using Action = ConfigKeeper::Action;

// Guards against: an instance that reads the copy brings back what a newer
// configuration had revoked, because none that knows better keeps it.
TEST_CASE("a configuration that the store has lost is kept until it is back",
          "[config_keeper]") {
  ConfigKeeper keeper;
  Millis now(1000);
  keeper.OnVersionInForce(3);
  keeper.OnStoreVersion(3);
  REQUIRE(keeper.TakeAction(0, now) == Action::kNone);
  keeper.OnStoreVersion(2);
  REQUIRE(keeper.IsAhead());
  REQUIRE(keeper.TakeAction(0, now) == Action::kWrite);
  REQUIRE(keeper.kept_revision() == StoreRevision());
  // A lost write is repeated, though not at once.
  REQUIRE(keeper.TakeAction(0, now + Millis(100)) == Action::kNone);
  REQUIRE(keeper.TakeAction(0, keeper.NextDue()) == Action::kWrite);
  keeper.OnKept(3, StoreRevision(1, 7));
  REQUIRE(keeper.TakeAction(0, now + Millis(9000)) == Action::kNone);
  REQUIRE(keeper.NextDue() == Millis(0));
  keeper.OnVersionInForce(5);
  keeper.OnStoreVersion(5);
  REQUIRE(keeper.TakeAction(0, now + Millis(9000)) == Action::kRemove);
  REQUIRE(keeper.kept_revision() == StoreRevision(1, 7));
  keeper.OnKeptRemoved();
  REQUIRE(keeper.TakeAction(0, now + Millis(19000)) == Action::kNone);
}

// Guards against: all instances write at once when the store comes back.
TEST_CASE("one instance keeps the configuration for all", "[config_keeper]") {
  ConfigKeeper keeper;
  Millis now(1000);
  keeper.OnVersionInForce(3);
  keeper.OnStoreVersion(2);
  REQUIRE(keeper.TakeAction(2, now) == Action::kNone);
  REQUIRE(keeper.NextDue() > now);
  keeper.OnKept(3, StoreRevision(1, 7));
  REQUIRE(keeper.TakeAction(2, now + Millis(5000)) == Action::kNone);
  // The record of an earlier loss is replaced.
  keeper.OnVersionInForce(4);
  REQUIRE(keeper.TakeAction(2, now + Millis(5000)) == Action::kNone);
  REQUIRE(keeper.TakeAction(2, keeper.NextDue()) == Action::kWrite);
  REQUIRE(keeper.kept_revision() == StoreRevision(1, 7));
}

// Guards against: the only instance that knows the configuration is the last of
// hundreds, and writes it after every bound on configurations.
TEST_CASE("the last instance keeps the configuration in time",
          "[config_keeper]") {
  constexpr size_t kLastRank = 359;
  constexpr Millis kShortestApplyBound{2000};
  ConfigKeeper keeper;
  Millis now(1000);
  keeper.OnVersionInForce(3);
  keeper.OnStoreVersion(2);
  REQUIRE(keeper.TakeAction(kLastRank, now) == Action::kNone);
  REQUIRE(keeper.NextDue() < now + kShortestApplyBound);
}

}  // namespace bilberrypitch
