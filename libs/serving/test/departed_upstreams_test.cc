// Tests of the entries that a store's older copy has of upstreams that left.
#include "serving/departed_upstreams.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

UpstreamEntry MakeEntry(const std::string& id, int64_t started_ms,
                        bool draining) {
  UpstreamEntry entry;
  entry.id = UpstreamId(id);
  entry.started_ms = started_ms;
  entry.draining = draining;
  return entry;
}

}  // namespace

// Guards against: an upstream that was removed gets requests, because an older
// copy of the store still names it.
TEST_CASE("the copy's entry of a removed upstream is doubted for a time",
          "[departed_upstreams]") {
  DepartedUpstreams departed;
  Millis now(1000);
  UpstreamEntry entry = MakeEntry("i-1", 5, false);
  REQUIRE_FALSE(departed.OnEntryOfCopy(entry, now));
  departed.OnDeparted(entry, now);
  REQUIRE(departed.OnEntryOfCopy(entry, now));
  REQUIRE(departed.TakeTrusted(now + Millis(3000)).empty());
  Millis due = departed.NextDue();
  REQUIRE(due > now);
  auto trusted = departed.TakeTrusted(due);
  REQUIRE(trusted.size() == 1);
  REQUIRE(trusted[0].id == entry.id);
  REQUIRE(departed.NextDue() == Millis(0));
  // Another start of it, and one that has written its entry again.
  REQUIRE_FALSE(departed.OnEntryOfCopy(MakeEntry("i-1", 6, false), now));
  REQUIRE(departed.OnEntryOfCopy(entry, now));
  departed.OnEntryChanged(entry.id);
  REQUIRE(departed.TakeTrusted(due).empty());
}

// Guards against: an upstream that drains gets requests, because an older copy
// of the store still calls it ready.
TEST_CASE("an upstream never leaves off draining by an older copy",
          "[departed_upstreams]") {
  DepartedUpstreams departed;
  Millis now(1000);
  departed.OnDeparted(MakeEntry("i-1", 5, true), now);
  REQUIRE(departed.OnEntryOfCopy(MakeEntry("i-1", 5, false), now));
  REQUIRE(departed.NextDue() == Millis(0));
  REQUIRE(departed.TakeTrusted(now + Millis(60000)).empty());
  REQUIRE_FALSE(departed.OnEntryOfCopy(MakeEntry("i-1", 5, true), now));
  REQUIRE_FALSE(departed.OnEntryOfCopy(MakeEntry("i-1", 6, false), now));
}

}  // namespace bilberrypitch
