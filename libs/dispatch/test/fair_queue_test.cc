// Tests of the fair queue, the choice of an upstream and its health.
#include "dispatch/fair_queue.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "dispatch/upstream_choice.h"
#include "dispatch/upstream_health.h"

namespace bilberrypitch {
namespace {

QueuedRequest Request(int n, const std::string& workspace, double cost = 10,
                      int64_t enqueued = 0) {
  QueuedRequest it;
  it.id = RequestId(fmt::format("r{}", n));
  it.workspace = WorkspaceId(workspace);
  it.cost_tokens = cost;
  it.ref = {AdapterId("a"), 1};
  it.enqueued = Millis(enqueued);
  it.deadline = Millis(enqueued + 1000);
  return it;
}

bool Always(const QueuedRequest&) { return true; }

}  // namespace

TEST_CASE("a small workspace is not held up behind a large one") {
  FairQueue queue(1000);
  int n = 0;
  for (int i = 0; i < 100; ++i) queue.Push(Request(n++, "large"));
  for (int i = 0; i < 5; ++i) queue.Push(Request(n++, "small"));
  int small_among_first_ten = 0;
  for (int i = 0; i < 10; ++i) {
    small_among_first_ten += queue.Pop(Always)->workspace.str() == "small";
  }
  REQUIRE(small_among_first_ten == 5);
}

TEST_CASE("shares follow tokens and weights") {
  FairQueue queue(10000);
  int n = 0;
  for (int i = 0; i < 2000; ++i) {
    QueuedRequest heavy = Request(n++, "heavy", 30);
    heavy.weight = 3;
    queue.Push(heavy);
    queue.Push(Request(n++, "light", 10));
  }
  double heavy = 0;
  double light = 0;
  for (int i = 0; i < 1000; ++i) {
    QueuedRequest it = *queue.Pop(Always);
    (it.workspace.str() == "heavy" ? heavy : light) += it.cost_tokens;
  }
  REQUIRE(heavy / light == Approx(3).epsilon(0.05));
}

TEST_CASE("a full queue sheds the longest lane, never the shorter one") {
  FairQueue queue(10);
  for (int i = 0; i < 10; ++i) queue.Push(Request(i, "large", 10, i));
  REQUIRE_FALSE(queue.Push(Request(10, "large")).accepted);
  PushOutcome outcome = queue.Push(Request(11, "small"));
  REQUIRE(outcome.accepted);
  REQUIRE(outcome.shed == RequestId("r9"));
  REQUIRE(queue.size() == 10);
}

TEST_CASE("waiting is bounded in time") {
  FairQueue queue(10);
  queue.Push(Request(1, "w", 10, 0));
  queue.Push(Request(2, "w", 10, 500));
  REQUIRE(queue.TakeExpired(Millis(999)).empty());
  REQUIRE(queue.TakeExpired(Millis(1000)).size() == 1);
  REQUIRE(queue.size() == 1);
}

TEST_CASE("nothing is lost or doubled, whatever the order of calls") {
  REQUIRE(rc::check("queue", [] {
    FairQueue queue(20);
    std::set<std::string> inside;
    auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    int n = 0;
    for (int step : steps) {
      if (step < 60) {
        auto it = Request(n, fmt::format("w{}", step % 4), 1 + step, n);
        ++n;
        PushOutcome outcome = queue.Push(it);
        if (outcome.accepted) inside.insert(it.id.str());
        if (outcome.shed) RC_ASSERT(inside.erase(outcome.shed->str()) == 1U);
      } else if (step < 90) {
        auto it = queue.Pop(Always);
        RC_ASSERT(it.has_value() == !inside.empty());
        if (it && step < 70) {
          queue.Return(*it);
        } else if (it) {
          RC_ASSERT(inside.erase(it->id.str()) == 1U);
        }
      } else {
        std::string id = fmt::format("r{}", step);
        RC_ASSERT(queue.Remove(RequestId(id)) == (inside.erase(id) == 1U));
      }
      RC_ASSERT(queue.size() == inside.size());
      RC_ASSERT(queue.size() <= 20U);
    }
  }));
}

TEST_CASE("a full upstream is not chosen, an affine one is while not fuller") {
  std::vector<UpstreamLoad> loads(3);
  for (int i = 0; i < 3; ++i) {
    loads[static_cast<size_t>(i)].upstream = UpstreamId(fmt::format("e{}", i));
    loads[static_cast<size_t>(i)].batch_slots = 8;
    loads[static_cast<size_t>(i)].allowed = 10;
  }
  size_t affine = *ChooseUpstream(loads, 77, 0);
  for (uint64_t draw = 0; draw < 20; ++draw) {
    REQUIRE(ChooseUpstream(loads, 77, draw) == affine);
  }
  loads[affine].reported = 8;
  REQUIRE(ChooseUpstream(loads, 77, 1) != affine);
  for (UpstreamLoad& it : loads) it.reported = 20;
  REQUIRE_FALSE(ChooseUpstream(loads, 77, 1).has_value());
}

TEST_CASE("a crashed upstream is tried by one request and let in slowly") {
  UpstreamHealth health;
  REQUIRE(health.Allowed(16, Millis(0)) == 16);
  health.OnBroken();
  REQUIRE(health.Allowed(16, Millis(0)) == 16);  // A broken connection only.
  health.OnConnectFailure(Millis(0));
  REQUIRE(health.Allowed(16, Millis(100)) == 0);
  REQUIRE(health.Allowed(16, Millis(300)) == 1);
  health.OnConnectFailure(Millis(300));
  REQUIRE(health.Allowed(16, Millis(600)) == 0);
  health.OnAnswer(Millis(800));
  REQUIRE(health.Allowed(16, Millis(800)) == 1);
  for (int i = 0; i < 3; ++i) health.OnAnswer(Millis(800));
  REQUIRE(health.Allowed(16, Millis(800)) == 8);
}

}  // namespace bilberrypitch
