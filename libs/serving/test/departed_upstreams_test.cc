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

// Guards against: an upstream that was removed in two starts gets requests,
// because only the later one is remembered and the copy names the earlier one.
TEST_CASE("the copy's entry of a start before a departed one is doubted",
          "[departed_upstreams]") {
  const bool is_draining = GENERATE(false, true);
  const bool is_later_first = GENERATE(false, true);
  CAPTURE(is_draining, is_later_first);
  DepartedUpstreams departed;
  Millis now(1000);
  departed.OnDeparted(MakeEntry("i-1", is_later_first ? 2000 : 1000, false),
                      now);
  departed.OnDeparted(MakeEntry("i-1", is_later_first ? 1000 : 2000, false),
                      now);
  REQUIRE(departed.OnEntryOfCopy(MakeEntry("i-1", 1000, is_draining), now));
  // It may be that of an upstream whose clock was set back.
  REQUIRE(departed.TakeTrusted(departed.NextDue()).size() == 1);
  REQUIRE(departed.OnEntryOfCopy(MakeEntry("i-1", 2000, false), now));
  REQUIRE_FALSE(departed.OnEntryOfCopy(MakeEntry("i-1", 2001, false), now));
  REQUIRE_FALSE(departed.OnEntryOfCopy(MakeEntry("i-2", 1000, false), now));
}

// Guards against: the copy's entry of an earlier start replaces the upstream
// that is alive, at once or when the doubt ends.
TEST_CASE("the copy's entry of a start before the living one is never used",
          "[departed_upstreams]") {
  const bool is_draining = GENERATE(false, true);
  const bool has_departed = GENERATE(false, true);
  CAPTURE(is_draining, has_departed);
  DepartedUpstreams departed;
  Millis now(1000);
  if (has_departed) {
    departed.OnDeparted(MakeEntry("i-1", 1000, false), now);
  }
  UpstreamEntry living = MakeEntry("i-1", 2000, false);
  REQUIRE(departed.OnEntryOfCopy(MakeEntry("i-1", 1000, is_draining), now,
                                 &living));
  REQUIRE(departed.NextDue() == Millis(0));
  REQUIRE(departed.TakeTrusted(now + Millis(60000)).empty());
  REQUIRE_FALSE(departed.OnEntryOfCopy(living, now, &living));
  REQUIRE_FALSE(
      departed.OnEntryOfCopy(MakeEntry("i-1", 2001, false), now, &living));
}

}  // namespace bilberrypitch
