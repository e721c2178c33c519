// The queue of prompts at one engine, step by step and in a long random run.
#include "serving/prefill_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace bilberrypitch {
namespace {

const MachineId kFirst("m1");
const MachineId kSecond("m2");
constexpr Millis kPause{400};

PrefillRequest Ask(const MachineId& machine, uint64_t number, int64_t tokens,
                   int urgency = 1) {
  return {{machine, number}, tokens, urgency};
}

PrefillQueue Queue() {
  PrefillQueue it;
  it.SetMaxEventGap(kPause);
  return it;
}

std::vector<uint64_t> Numbers(const std::vector<PrefillRequestId>& tickets) {
  std::vector<uint64_t> numbers;
  numbers.reserve(tickets.size());
  for (const PrefillRequestId& it : tickets) {
    numbers.push_back(it.number);
  }
  return numbers;
}

}  // namespace

// Pattern: a burst of prompts at an engine that runs streams.
TEST_CASE("a burst goes to the engine as fast as it is read", "[reading]") {
  PrefillQueue it = Queue();
  Millis now(1000);
  for (uint64_t n = 1; n <= 5; ++n) {
    it.OnRequest(Ask(n % 2 == 0 ? kFirst : kSecond, n, 2000), now);
  }
  // 2 x 2,000 tokens take 240 ms, a third one would pass the pause.
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{1, 2});
  REQUIRE(it.TakeGrants(now).empty());
  it.OnRelease({kSecond, 1}, true, now + Millis(120));
  REQUIRE(Numbers(it.TakeGrants(now + Millis(120))) ==
          std::vector<uint64_t>{3});
  // What went elsewhere makes room too.
  it.OnRelease({kFirst, 2}, false, now + Millis(130));
  REQUIRE(Numbers(it.TakeGrants(now + Millis(130))) ==
          std::vector<uint64_t>{4});
}

TEST_CASE("the urgent go first, then the oldest", "[reading]") {
  PrefillQueue it = Queue();
  Millis now(1000);
  it.OnRequest(Ask(kFirst, 1, 5000), now);
  REQUIRE(it.TakeGrants(now).size() == 1);
  it.OnRequest(Ask(kFirst, 2, 3000, 2), now);
  it.OnRequest(Ask(kFirst, 3, 3000, 0), now);
  it.OnRequest(Ask(kFirst, 4, 3000, 0), now);
  it.OnRequest(Ask(kFirst, 2, 3000, 2), now);  // Keeps its place.
  REQUIRE(it.waiting_tokens() == 9000);
  it.OnRelease({kFirst, 1}, false, now);
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{3});
  it.OnRelease({kFirst, 3}, false, now);
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{4});
}

TEST_CASE("a prompt longer than a pause goes alone, and is not overtaken",
          "[reading]") {
  PrefillQueue it = Queue();
  Millis now(1000);
  it.OnRequest(Ask(kFirst, 1, 500), now);
  it.OnRequest(Ask(kFirst, 2, 9000), now);
  it.OnRequest(Ask(kFirst, 3, 500), now);
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{1});
  it.OnRelease({kFirst, 1}, true, now);
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{2});
}

TEST_CASE("lost words and lost machines hold up nobody for long", "[reading]") {
  PrefillQueue it = Queue();
  Millis now(1000);
  it.OnRequest(Ask(kFirst, 1, 6000), now);
  REQUIRE(it.TakeGrants(now).size() == 1);
  // The grant was lost: it is asked again.
  it.OnRequest(Ask(kFirst, 1, 6000), now);
  REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{1});
  it.OnRequest(Ask(kSecond, 2, 6000), now);
  SECTION("the machine is gone") {
    it.OnMachineRemoved(kFirst);
    REQUIRE(Numbers(it.TakeGrants(now)) == std::vector<uint64_t>{2});
  }
  SECTION("the word that it was read is lost") {
    for (Millis at = now; at < now + Millis(2500); at = at + Millis(250)) {
      it.OnRequest(Ask(kSecond, 2, 6000), at);
      REQUIRE(it.TakeGrants(at).empty());
    }
    REQUIRE(Numbers(it.TakeGrants(now + Millis(2500))) ==
            std::vector<uint64_t>{2});
  }
  SECTION("who does not ask again is forgotten") {
    REQUIRE(it.NextWakeup(now) == now + Millis(800));
    it.TakeGrants(now + Millis(800));
    REQUIRE_FALSE(it.IsWaiting({kSecond, 2}));
  }
}

TEST_CASE("without a stated pause nothing waits", "[reading]") {
  PrefillQueue it;
  for (uint64_t n = 1; n <= 50; ++n) {
    it.OnRequest(Ask(kFirst, n, 4000), Millis(1000));
  }
  REQUIRE(it.TakeGrants(Millis(1000)).size() == 50);
}

TEST_CASE("a slow engine is learnt", "[reading]") {
  PrefillQueue it = Queue();
  Millis now(1000);
  for (uint64_t n = 1; n <= 60; ++n) {
    it.OnRequest(Ask(kFirst, n, 2000), now);
    REQUIRE(it.TakeGrants(now).size() == 1);
    now = now + Millis(300);  // 0.15 ms a token.
    it.OnRelease({kFirst, n}, true, now);
  }
  REQUIRE(it.ms_per_token() > 0.14);
  REQUIRE(it.ms_per_token() < 0.16);
  it.OnRequest(Ask(kFirst, 100, 1500), now);
  it.OnRequest(Ask(kFirst, 101, 1500), now);
  REQUIRE(it.TakeGrants(now).size() == 1);
}

// Invariants: more than one prompt is at the engine only within the bound; all
// that keep asking are granted in the end; nothing is granted unasked.
TEST_CASE("long runs: the bound holds and nobody starves", "[reading]") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    auto draw = [&](int64_t n) {
      return static_cast<int64_t>(random() % static_cast<uint64_t>(n));
    };
    PrefillQueue it = Queue();
    std::map<PrefillRequestId, PrefillRequest> open;
    std::map<PrefillRequestId, Millis> since;
    std::set<PrefillRequestId> at_engine;
    Millis now(1000);
    uint64_t next = 0;
    for (int step = 0; step < 20000; ++step) {
      now = now + Millis(draw(20));
      int64_t what = draw(10);
      if (what < 3 && open.size() < 20) {
        PrefillRequest ask = Ask(draw(2) == 0 ? kFirst : kSecond, ++next,
                                 1 + draw(7000), static_cast<int>(draw(3)));
        open[ask.ticket] = ask;
        since[ask.ticket] = now;
        it.OnRequest(ask, now);
      } else if (what < 6 && !at_engine.empty()) {
        PrefillRequestId ticket = *at_engine.begin();
        at_engine.erase(at_engine.begin());
        if (draw(20) > 0) {  // Else the word is lost.
          it.OnRelease(ticket, draw(5) > 0, now);
        }
      }
      for (const auto& [ticket, ask] : open) {
        if (draw(8) == 0) {
          it.OnRequest(ask, now);
        }
      }
      for (const PrefillRequestId& ticket : it.TakeGrants(now)) {
        if (open.erase(ticket) > 0) {
          REQUIRE(now - since[ticket] < Millis(60 * 1000));
          at_engine.insert(ticket);
        } else {
          REQUIRE(ticket.number <= next);
        }
      }
      REQUIRE(it.waiting_tokens() >= 0);
      REQUIRE(it.granted_tokens() >= 0);
    }
  }
}

}  // namespace bilberrypitch
