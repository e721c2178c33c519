// Tests of the member table, rendezvous hashing and the pause detector.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "membership/member_table.h"
#include "membership/pause_detector.h"
#include "membership/rendezvous.h"

namespace bilberrypitch {
namespace {

constexpr Millis kTimeout{3000};

HeartbeatFacts Facts(const char* instance, const char* boot,
                     const char* zone = "a") {
  HeartbeatFacts facts;
  facts.instance = InstanceId(instance);
  facts.boot = BootId(boot);
  facts.zone = ZoneId(zone);
  facts.peer_address = "127.0.0.1:1";
  return facts;
}

}  // namespace

TEST_CASE("a removed candidate moves only what it held") {
  REQUIRE(rc::check("rendezvous", [] {
    auto names = *rc::gen::unique<std::vector<std::string>>(
        rc::gen::nonEmpty<std::string>());
    RC_PRE(names.size() >= 2U);
    auto key = *rc::gen::arbitrary<std::string>();
    std::string before = names[PickByRendezvous(key, names)];
    auto gone = *rc::gen::inRange<size_t>(0, names.size());
    std::string removed = names[gone];
    names.erase(names.begin() + static_cast<long>(gone));
    std::string after = names[PickByRendezvous(key, names)];
    RC_ASSERT(before == removed || before == after);
  }));
}

TEST_CASE("a silent or leaving member is not preferred as leader") {
  MemberTable table(Facts("me", "boot-me"), kTimeout);
  table.OnHeartbeat(Facts("i1", "boot-1"), Millis(0));
  table.OnHeartbeat(Facts("i2", "boot-2"), Millis(0));
  BootId first = table.PreferredLeader(ZoneId("a"), Millis(10));
  REQUIRE_FALSE(first.empty());
  REQUIRE(table.PreferredLeader(ZoneId("a"), Millis(4000)) ==
          BootId("boot-me"));
  HeartbeatFacts leaving = Facts("i1", "boot-1");
  leaving.leaving = true;
  table.OnHeartbeat(leaving, Millis(5000));
  REQUIRE(table.PreferredLeader(ZoneId("a"), Millis(5000)) ==
          BootId("boot-me"));
  REQUIRE(table.PreferredLeader(ZoneId("b"), Millis(5000)).empty());
}

TEST_CASE("the list adds peers and its lag does not undo a heartbeat") {
  MemberTable table(Facts("me", "boot-me"), kTimeout);
  table.OnList({{InstanceId("i1"), ZoneId("b"), "127.0.0.1:9"}}, Millis(0));
  REQUIRE(table.Peers().size() == 1);
  REQUIRE(table.LivePeers(Millis(0)).empty());
  table.OnHeartbeat(Facts("i2", "boot-2", "b"), Millis(10));
  table.OnList({{InstanceId("i1"), ZoneId("b"), "127.0.0.1:9"}}, Millis(20));
  REQUIRE(table.IsLive(BootId("boot-2"), Millis(20)));
  REQUIRE_FALSE(table.IsListed(InstanceId("i2")));
  REQUIRE(table.ReachableZones(Millis(20)).size() == 2);
}

TEST_CASE("a gap between ticks is a pause") {
  PauseDetector detector(Millis(500));
  REQUIRE_FALSE(detector.OnTick(Millis(10000)));
  REQUIRE_FALSE(detector.OnTick(Millis(10400)));
  REQUIRE_FALSE(detector.Unnoticed(Millis(10900)));
  REQUIRE(detector.Unnoticed(Millis(11000)));
  REQUIRE(detector.OnTick(Millis(11000)));
  REQUIRE_FALSE(detector.Unnoticed(Millis(11000)));
  REQUIRE_FALSE(detector.OnTick(Millis(11100)));
}

}  // namespace bilberrypitch
