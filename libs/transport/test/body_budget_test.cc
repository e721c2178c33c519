// Tests what is decided of connections under crowds of untrusted callers.
#include "transport/body_budget.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace bilberrypitch {
namespace {

using Key = BodyBudget::ConnectionKey;

constexpr size_t kMb = 1 << 20;
constexpr BodyBudgetLimits kLimits{40 * kMb, 50};

size_t BodyCost(size_t bytes, size_t chunks = 0) {
  RequestSize size;
  size.body_bytes = bytes;
  size.chunks = chunks;
  return size.ReceivingCost();
}

// Applies what the budget decides.
std::set<Key> EndAll(BodyBudget* budget, Millis now, EndCause cause) {
  std::set<Key> ended;
  while (auto ending = budget->NextEnding(now)) {
    REQUIRE(ending->cause == cause);
    ended.insert(ending->connection);
  }
  return ended;
}

}  // namespace

// Guards against: many bodies, each of legal size, take more than the process
// may, or a short request is ended for them.
TEST_CASE("a crowd of bodies keeps to the budget", "[budget]") {
  const size_t chunk_bytes = GENERATE(1, 100, 64 << 10);
  BodyBudget budget(kLimits);
  constexpr int kCallers = 40;
  std::vector<Key> crowd;
  crowd.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    crowd.push_back(budget.Open(Millis(0)));
  }
  std::set<Key> ended;
  size_t sent = 0;
  for (int64_t ms = 1; sent < 4 * kMb; ms += 10) {
    sent += 64 << 10;
    const Key ordinary = budget.Open(Millis(ms));
    budget.OnReceived(ordinary, BodyCost(1000), Millis(ms));
    for (Key key : crowd) {
      budget.OnReceived(key, BodyCost(sent, sent / chunk_bytes), Millis(ms));
      ended.merge(EndAll(&budget, Millis(ms), EndCause::kMemory));
      REQUIRE(budget.bytes_held() <= kLimits.bytes);
    }
    REQUIRE(!ended.contains(ordinary));
    budget.Close(ordinary);
  }
  REQUIRE(ended.size() >= 30);
}

// Guards against: the budget is kept by ending whoever comes last, so that
// bodies that stopped keep all others out.
TEST_CASE("what was held longest for its size is ended first", "[budget]") {
  BodyBudget budget(kLimits);
  const Key stopped = budget.Open(Millis(0));
  budget.OnReceived(stopped, 20 * kMb, Millis(0));
  const Key small = budget.Open(Millis(0));
  budget.OnReceived(small, 1000, Millis(0));
  const Key young = budget.Open(Millis(3000));
  budget.OnReceived(young, 22 * kMb, Millis(3000));
  REQUIRE(EndAll(&budget, Millis(3000), EndCause::kMemory) ==
          std::set<Key>{stopped});
}

// Guards against: a request that is handled is ended for one that comes in, or
// counts no longer once its connection is gone.
TEST_CASE("handled requests stay and count", "[budget]") {
  BodyBudget budget(kLimits);
  const Key handled = budget.Open(Millis(0));
  budget.AddHandled(handled, 35 * kMb);
  const Key comes = budget.Open(Millis(10));
  budget.OnReceived(comes, 6 * kMb, Millis(10));
  REQUIRE(EndAll(&budget, Millis(10), EndCause::kMemory) ==
          std::set<Key>{comes});
  budget.Close(handled);
  REQUIRE(budget.bytes_held() == 35 * kMb);
  budget.RemoveHandled(handled, 35 * kMb);
  REQUIRE(budget.bytes_held() == 0);
  REQUIRE(budget.connection_count() == 0);
}

// Guards against: large requests that are handled for long keep all others out,
// or short ones have no bound.
TEST_CASE("short requests have room beside large ones", "[budget]") {
  BodyBudget budget(kLimits);
  const Key handled = budget.Open(Millis(0));
  budget.AddHandled(handled, kLimits.bytes);
  const Key ordinary = budget.Open(Millis(0));
  budget.OnReceived(ordinary, BodyCost(1000), Millis(0));
  REQUIRE(!budget.NextEnding(Millis(0)));
  std::set<Key> ended;
  for (int i = 0; i < 1000; ++i) {
    budget.OnReceived(budget.Open(Millis(1)), 60 << 10, Millis(1));
    while (auto ending = budget.NextEnding(Millis(1))) {
      ended.insert(ending->connection);
    }
    REQUIRE(budget.bytes_held() <= kLimits.bytes + kLimits.bytes / 4);
  }
  REQUIRE(!ended.empty());
}

// Guards against: callers that do not read take the memory.
TEST_CASE("unread responses keep to the budget", "[budget]") {
  BodyBudget budget(kLimits);
  const Key reads = budget.Open(Millis(0));
  const Key stalls = budget.Open(Millis(0));
  budget.AddUnread(stalls, 8 * kMb, Millis(0));
  for (int64_t ms = 0; ms < 2000; ms += 100) {
    budget.AddUnread(reads, 8 * kMb, Millis(ms));
    budget.RemoveUnread(reads, 8 * kMb, Millis(ms + 50));
  }
  REQUIRE(!budget.NextEnding(Millis(2000)));
  budget.AddUnread(reads, 35 * kMb, Millis(2000));
  REQUIRE(EndAll(&budget, Millis(2000), EndCause::kUnreadResponse) ==
          std::set<Key>{stalls});
}

// Guards against: a request that stalls stays for good, or one whose caller
// pauses is ended while there is room.
TEST_CASE("stalled requests are ended, soon when memory is short", "[budget]") {
  BodyBudget budget(kLimits);
  const Key key = budget.Open(Millis(0));
  const bool is_short = GENERATE(false, true);
  const Key other = budget.Open(Millis(0));
  budget.AddHandled(other, is_short ? 30 * kMb : 0);
  budget.OnReceived(key, 1000, Millis(0));
  const Millis stall = is_short ? kLimits.stall_when_short : kLimits.stall;
  REQUIRE(!budget.NextStalled(stall - Millis(1)));
  const auto ending = budget.NextStalled(stall);
  REQUIRE(ending);
  REQUIRE(ending->connection == key);
  REQUIRE(ending->cause == EndCause::kStalled);
  REQUIRE(!budget.NextStalled(stall * 10));
  REQUIRE(!budget.IsReceiving());
}

// Guards against: a connection counts as idle for as long as its last request
// was handled.
TEST_CASE("a connection is idle from its last response", "[budget]") {
  BodyBudget budget(kLimits);
  const Key busy = budget.Open(Millis(0));
  budget.AddHandled(busy, 1);
  const Key idle = budget.Open(Millis(10));
  budget.AddUnread(busy, 1, Millis(1000));
  budget.RemoveHandled(busy, 1);
  budget.RemoveUnread(busy, 1, Millis(1001));
  for (size_t i = budget.connection_count(); i <= kLimits.connections; ++i) {
    budget.Open(Millis(2000));
  }
  REQUIRE(EndAll(&budget, Millis(2000), EndCause::kTooManyConnections) ==
          std::set<Key>{idle});
}

// Guards against: connections use up the descriptors, or a request that is
// handled loses its connection to an idle one.
TEST_CASE("connections keep to their number", "[budget]") {
  BodyBudget budget(kLimits);
  const Key handling = budget.Open(Millis(0));
  budget.AddHandled(handling, 1);
  const Key idle = budget.Open(Millis(1));
  for (size_t i = budget.connection_count(); i < kLimits.connections; ++i) {
    budget.Open(Millis(2));
  }
  REQUIRE(!budget.NextEnding(Millis(3)));
  budget.Open(Millis(3));
  REQUIRE(EndAll(&budget, Millis(3), EndCause::kTooManyConnections) ==
          std::set<Key>{idle});
  REQUIRE(budget.connection_count() == kLimits.connections);
}

// Guards against: a single request within the limits is not served on a small
// machine.
TEST_CASE("the budget has room for the largest body", "[budget]") {
  for (int64_t memory_mb : {0, 1, 120, 260, 512}) {
    for (size_t max_body : {size_t{1000}, kMb, 4 * kMb, 30 * kMb}) {
      BodyBudget budget(BodyBudgetLimitsFor(memory_mb, 4100));
      budget.SetMaxBodyBytes(max_body);
      RequestSize size;
      size.head_bytes = 16 << 10;
      size.fields = 200;
      size.body_bytes = max_body;
      size.chunks = MaxChunksFor(max_body);
      const Key key = budget.Open(Millis(0));
      budget.OnReceived(key, size.HandlingCost(), Millis(0));
      REQUIRE(!budget.NextEnding(Millis(0)));
    }
  }
}

TEST_CASE("the limits follow from the machine", "[budget]") {
  const BodyBudgetLimits small = BodyBudgetLimitsFor(120, 200);
  REQUIRE(small.bytes == 40 * kMb);
  REQUIRE(small.connections == 52);
  REQUIRE(BodyBudgetLimitsFor(120, 4100).connections == 1920);
  REQUIRE(BodyBudgetLimitsFor(512, 4100).connections == 2002);
  const BodyBudgetLimits unknown = BodyBudgetLimitsFor(0, 0);
  REQUIRE(unknown.bytes == (256 * kMb) / 3);
  REQUIRE(unknown.connections == 2000);
}

}  // namespace bilberrypitch
