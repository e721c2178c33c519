// Tests of the search for prompt parts that crash upstreams.
#include "serving/part_crash_tracker.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

constexpr PartId kCommon{1};
constexpr PartId kDeadly{2};
constexpr PartId kOther{3};

CrashId StartOf(const std::string& upstream, int64_t started_ms = 1) {
  return {UpstreamId(upstream), started_ms};
}

// An instance, with the number of requests that it has sent.
struct Observer {
  PartCrashTracker tracker;
  uint64_t requests = 0;

  // A request ran on the upstream and had not begun when the upstream ended.
  std::vector<PartCrash> Crash(const std::vector<PartId>& parts,
                               const CrashId& id, Millis now) {
    tracker.OnConnectionBroken({id, ++requests, parts}, now);
    return tracker.OnUpstreamDown(id.upstream, now + Millis(50));
  }

  void Begin(const std::vector<PartId>& parts, int count, Millis now) {
    for (int i = 0; i < count; ++i) {
      tracker.OnBegun(parts, now);
    }
  }
};

}  // namespace

TEST_CASE("a part under which three upstreams crash is accused", "[parts]") {
  Observer observer;
  Millis now(1000);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(observer.tracker.TakeAccused(now).empty());
    observer.Crash({kCommon, kDeadly}, StartOf(fmt::format("u{}", i)), now);
    observer.Begin({kCommon}, 1, now + Millis(60));
    now = now + Millis(200);
  }
  REQUIRE(observer.tracker.TakeAccused(now) == std::vector<PartId>{kDeadly});
  REQUIRE(observer.tracker.TakeAccused(now).empty());
  observer.tracker.Quarantine(kDeadly, true, now);
  REQUIRE(observer.tracker.IsQuarantined({kCommon, kDeadly}, now));
  REQUIRE_FALSE(observer.tracker.IsQuarantined({kCommon, kOther}, now));
}

TEST_CASE("crashes of one start of an upstream count once", "[parts]") {
  Observer observer;
  for (int i = 0; i < 5; ++i) {
    observer.Crash({kDeadly}, StartOf("u", 1 + i / 3), Millis(1000));
    observer.Begin({kOther}, 2, Millis(1100));
  }
  REQUIRE_FALSE(observer.tracker.ReachesLimit(kDeadly, Millis(1200)));
  observer.Crash({kDeadly}, StartOf("u", 3), Millis(1300));
  REQUIRE(observer.tracker.ReachesLimit(kDeadly, Millis(1400)));
}

// Guards against: engines that end for a common cause while nothing begins put
// the blame on what all their requests share.
TEST_CASE("upstreams that end while nothing begins accuse no part", "[parts]") {
  Observer observer;
  for (int i = 0; i < 30; ++i) {
    observer.Crash({kCommon, kOther}, StartOf(fmt::format("u{}", i)),
                   Millis(1000 + 10 * i));
  }
  REQUIRE(observer.tracker.TakeAccused(Millis(2000)).empty());
  // The first response that begins clears its parts, not the others.
  observer.Begin({kCommon}, 1, Millis(2000));
  REQUIRE_FALSE(observer.tracker.ReachesLimit(kCommon, Millis(2000)));
}

TEST_CASE("one request that crashes upstreams accuses no part", "[parts]") {
  PartCrashTracker tracker;
  for (int i = 0; i < 6; ++i) {
    CrashId id = StartOf(fmt::format("u{}", i));
    tracker.OnConnectionBroken({id, 7, {kOther}}, Millis(1000));
    tracker.OnUpstreamDown(id.upstream, Millis(1000));
    tracker.OnBegun({kCommon}, Millis(1000));
  }
  REQUIRE(tracker.TakeAccused(Millis(1000)).empty());
}

TEST_CASE("a connection that breaks while its upstream lives is no crash",
          "[parts]") {
  Observer observer;
  for (int i = 0; i < 6; ++i) {
    observer.tracker.OnConnectionBroken(
        {StartOf(fmt::format("u{}", i)), ++observer.requests, {kOther}},
        Millis(1000));
    observer.Begin({kCommon}, 1, Millis(1000));
  }
  // The upstreams end much later, for another reason.
  for (int i = 0; i < 6; ++i) {
    observer.tracker.OnUpstreamDown(UpstreamId(fmt::format("u{}", i)),
                                    Millis(20 * 1000));
  }
  REQUIRE_FALSE(observer.tracker.ReachesLimit(kOther, Millis(20 * 1000)));
}

TEST_CASE("a part that has begun before needs more crashes", "[parts]") {
  Observer observer;
  observer.Begin({kCommon}, 1, Millis(500));
  for (int i = 0; i < 4; ++i) {
    observer.Crash({kCommon}, StartOf(fmt::format("u{}", i)), Millis(1000));
    observer.Begin({kOther}, 10, Millis(1100));
  }
  REQUIRE_FALSE(observer.tracker.ReachesLimit(kCommon, Millis(1200)));
  observer.Crash({kCommon}, StartOf("u5"), Millis(1300));
  REQUIRE(observer.tracker.ReachesLimit(kCommon, Millis(1400)));
}

TEST_CASE("crashes at several instances add up", "[parts]") {
  std::vector<Observer> observers(4);
  for (size_t i = 0; i < 3; ++i) {
    Millis now(1000 + 100 * static_cast<int64_t>(i));
    observers[i].requests = 100 * i;
    for (const PartCrash& crash :
         observers[i].Crash({kDeadly}, StartOf(fmt::format("u{}", i)), now)) {
      for (size_t other = 0; other < observers.size(); ++other) {
        if (other != i) {
          observers[other].tracker.OnPeerCrash(crash, now);
        }
      }
    }
    for (Observer& observer : observers) {
      observer.Begin({kCommon}, 1, now);
    }
  }
  // Each instance knows of all crashes; those that reported one accuse.
  for (size_t i = 0; i < observers.size(); ++i) {
    REQUIRE(observers[i].tracker.ReachesLimit(kDeadly, Millis(1500)));
    REQUIRE(observers[i].tracker.TakeAccused(Millis(1500)).size() ==
            (i < 3 ? 1 : 0));
  }
}

TEST_CASE("a peer that saw the part begin clears earlier crashes", "[parts]") {
  Observer observer;
  for (int i = 0; i < 4; ++i) {
    observer.Crash({kOther}, StartOf(fmt::format("u{}", i)),
                   Millis(1000 + 100 * i));
    observer.Begin({kCommon}, 1, Millis(1500));
  }
  REQUIRE(observer.tracker.ReachesLimit(kOther, Millis(1500)));
  SECTION("all of them") {
    observer.tracker.OnPeerBegun(kOther, Millis(1450), Millis(1500));
    REQUIRE(observer.tracker.candidates() == 0);
  }
  SECTION("only earlier ones, but it counts as a part that has begun") {
    observer.tracker.OnPeerBegun(kOther, Millis(900), Millis(1500));
    REQUIRE(observer.tracker.candidates() == 1);
    REQUIRE_FALSE(observer.tracker.ReachesLimit(kOther, Millis(1500)));
  }
}

TEST_CASE("a quarantine ends when the part begins or its time is over",
          "[parts]") {
  PartCrashTracker tracker;
  Millis now(1000);
  tracker.Quarantine(kOther, false, now);
  SECTION("at this instance") {
    REQUIRE(tracker.OnBegun({kCommon, kOther}, now) ==
            std::vector<PartId>{kOther});
  }
  SECTION("at another, after the first crash") {
    REQUIRE_FALSE(tracker.OnPeerBegun(kOther, now, now));
    REQUIRE(tracker.IsQuarantined({kOther}, now));
    REQUIRE(tracker.OnPeerBegun(kOther, now + Millis(1), now + Millis(1)));
  }
  SECTION("by time") {
    now = now + PartCrashTracker::kQuarantineTime + Millis(1);
  }
  REQUIRE_FALSE(tracker.IsQuarantined({kOther}, now));
}

// Guards against: an objection that comes too late leaves a sound part
// quarantined.
TEST_CASE("a late objection ends a quarantine", "[parts]") {
  Observer observer;
  for (int i = 0; i < 3; ++i) {
    observer.Crash({kOther}, StartOf(fmt::format("u{}", i)),
                   Millis(1000 + 100 * i));
  }
  observer.tracker.Quarantine(kOther, true, Millis(1400));
  REQUIRE_FALSE(
      observer.tracker.OnPeerBegun(kOther, Millis(1000), Millis(1500)));
  REQUIRE(observer.tracker.IsQuarantined({kOther}, Millis(1500)));
  REQUIRE(observer.tracker.OnPeerBegun(kOther, Millis(1300), Millis(1500)));
  REQUIRE_FALSE(observer.tracker.IsQuarantined({kOther}, Millis(1500)));
}

TEST_CASE("the declaring instance sends two probes at most", "[parts]") {
  PartCrashTracker tracker;
  tracker.Quarantine(kDeadly, true, Millis(0));
  PartCrashTracker other;
  other.Quarantine(kDeadly, false, Millis(0));
  int probes = 0;
  for (int64_t second = 0; second < 590; ++second) {
    Millis now(second * 1000);
    probes += tracker.TakeProbe({kCommon, kDeadly}, now) ? 1 : 0;
    REQUIRE_FALSE(tracker.TakeProbe({kCommon}, now));
    REQUIRE_FALSE(other.TakeProbe({kDeadly}, now));
    REQUIRE((second >= 30 || probes == 0));
  }
  REQUIRE(probes == 2);
}

TEST_CASE("memory stays bounded whatever parts callers name", "[parts]") {
  Observer observer;
  uint64_t next = 10;
  for (int i = 0; i < 2000; ++i) {
    std::vector<PartId> parts(100);
    for (PartId& part : parts) {
      part = PartId{++next};
    }
    observer.Crash(parts, StartOf(fmt::format("u{}", i)), Millis(1000 + i));
    observer.Begin(parts, 1, Millis(1000 + i));
    observer.Crash({PartId{++next}, PartId{++next}},
                   StartOf(fmt::format("v{}", i)), Millis(1000 + i));
    observer.tracker.Quarantine(PartId{++next}, false, Millis(1000 + i));
  }
  REQUIRE(observer.tracker.candidates() <= 2048);
  REQUIRE(observer.tracker.known_sound() <= 2 * 4096);
  REQUIRE(observer.tracker.Quarantined().size() <= 1024);
}

}  // namespace bilberrypitch
