// Tests of the decision that the path to all upstreams is lost.
#include "serving/path_monitor.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bilberrypitch {
namespace {

using State = PathMonitor::State;

std::vector<UpstreamId> Known() {
  return {UpstreamId("a"), UpstreamId("b"), UpstreamId("c"), UpstreamId("d")};
}

// Fails the rounds that are due until `until`. Returns how many there were.
int FailRounds(PathMonitor* monitor, Millis* now, Millis until) {
  int rounds = 0;
  for (; *now < until; *now = *now + Millis(10)) {
    if (!monitor->TakeRound(Known(), *now).empty()) {
      ++rounds;
      *now = *now + Millis(300);
      monitor->OnRoundEnded(false, *now);
    }
  }
  return rounds;
}

}  // namespace

TEST_CASE("connections that fail everywhere lose the path", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  monitor.OnUnreached(UpstreamId("a"), now);
  monitor.OnUnreached(UpstreamId("a"), now);
  REQUIRE(monitor.state() == State::kOpen);  // One upstream is no path.
  monitor.OnUnreached(UpstreamId("b"), now);
  REQUIRE(monitor.state() == State::kSuspect);
  REQUIRE(monitor.TakeRound(Known(), now).size() == 1);
  REQUIRE(monitor.TakeRound(Known(), now).empty());  // One round at a time.
  monitor.OnRoundEnded(false, now + Millis(300));
  REQUIRE_FALSE(monitor.is_lost());
  REQUIRE(monitor.NextDue() == now + Millis(400));
  REQUIRE(monitor.TakeRound(Known(), now + Millis(400)).size() == 3);
  monitor.OnRoundEnded(false, now + Millis(700));
  REQUIRE_FALSE(monitor.is_lost());
  REQUIRE(monitor.TakeRound(Known(), now + Millis(800)).size() == 4);
  monitor.OnRoundEnded(false, now + Millis(1100));
  REQUIRE(monitor.is_lost());
}

// Guards against: an instance that reaches a part of the upstreams relays all
// of its requests, as those that it has probed are of the others.
TEST_CASE("an upstream in twelve keeps the path open", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  std::vector<UpstreamId> known;
  constexpr size_t kKnown = 12;
  known.reserve(kKnown);
  for (size_t i = 0; i < kKnown; ++i) {
    known.push_back(UpstreamId("u" + std::to_string(i)));
  }
  for (size_t reachable = 0; reachable < known.size(); ++reachable) {
    monitor.OnUnreached(UpstreamId("u0"), now);
    monitor.OnUnreached(UpstreamId("u1"), now);
    while (monitor.state() == State::kSuspect) {
      now = std::max(now, monitor.NextDue());
      std::vector<UpstreamId> round = monitor.TakeRound(known, now);
      monitor.OnRoundEnded(std::find(round.begin(), round.end(),
                                     known[reachable]) != round.end(),
                           now);
    }
    REQUIRE(monitor.state() == State::kOpen);
  }
}

// Guards against: open connections that live on hide that no new one can be
// made, or a crash of some upstreams counts as a lost path.
TEST_CASE("only a new connection refutes a suspicion", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  monitor.OnRequestSent(now);
  monitor.OnUnreached(UpstreamId("a"), now);
  monitor.OnUnreached(UpstreamId("b"), now);
  monitor.OnBytes(now);
  REQUIRE(monitor.state() == State::kSuspect);
  SECTION("of a probe") {
    monitor.TakeRound(Known(), now);
    monitor.OnRoundEnded(true, now);
  }
  SECTION("of a request") { monitor.OnReached(now); }
  REQUIRE(monitor.state() == State::kOpen);
  // It outweighs silence for a while, but no further failures.
  REQUIRE(monitor.TakeRound(Known(), now + Millis(1000)).empty());
  REQUIRE(monitor.NextDue() == now + Millis(1500));
  monitor.OnUnreached(UpstreamId("a"), now + Millis(1000));
  monitor.OnUnreached(UpstreamId("b"), now + Millis(1000));
  REQUIRE(monitor.state() == State::kSuspect);
}

TEST_CASE("silence of all upstreams is probed", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  REQUIRE(monitor.NextDue() == Millis(0));
  monitor.OnRequestSent(now);
  REQUIRE(monitor.NextDue() == now + Millis(700));
  monitor.OnBytes(now + Millis(600));
  REQUIRE(monitor.TakeRound(Known(), now + Millis(700)).empty());
  REQUIRE(monitor.NextDue() == now + Millis(1300));
  REQUIRE(monitor.TakeRound(Known(), now + Millis(1300)).size() == 1);
  monitor.OnRoundEnded(true, now + Millis(1301));
  REQUIRE(monitor.state() == State::kOpen);
  monitor.OnRequestEnded();
  REQUIRE(monitor.NextDue() == Millis(0));
}

TEST_CASE("a lost path is tried until it is back", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  monitor.OnUnreached(UpstreamId("a"), now);
  monitor.OnUnreached(UpstreamId("b"), now);
  const int rounds = FailRounds(&monitor, &now, now + Millis(8000));
  REQUIRE(monitor.is_lost());
  REQUIRE(rounds >= 8);
  REQUIRE(rounds <= 14);
  now = monitor.NextDue();
  REQUIRE(monitor.TakeRound(Known(), now).size() == 3);
  monitor.OnRoundEnded(true, now);
  REQUIRE(monitor.state() == State::kOpen);
}

TEST_CASE("without upstreams nothing is probed", "[path_monitor]") {
  Millis now{10000};
  PathMonitor monitor;
  monitor.OnUnreached(UpstreamId("a"), now);
  monitor.OnUnreached(UpstreamId("b"), now);
  REQUIRE(monitor.TakeRound({}, now).empty());
  REQUIRE_FALSE(monitor.is_lost());
}

}  // namespace bilberrypitch
