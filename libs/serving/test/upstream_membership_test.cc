// Tests of the membership of upstreams: what makes one leave, and that none
// returns within a start.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

constexpr Millis kReturnTime{2000};

UpstreamRegistry::Hooks NoHooks() {
  UpstreamRegistry::Hooks hooks;
  hooks.on_local_load_changed = [](const UpstreamId&) {};
  return hooks;
}

UpstreamRecord RecordOf(const UpstreamId& id, int64_t started_ms,
                        bool draining) {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = ServiceId("s");
  entry.address = "127.0.0.1:1";
  entry.started_ms = started_ms;
  entry.draining = draining;
  return {id, entry};
}

}  // namespace

// Guards against: a response that an earlier start sent puts the present start
// out of use.
TEST_CASE("a late response of an earlier start says nothing of the present one",
          "[membership]") {
  UpstreamRegistry registry(NoHooks());
  const UpstreamId id("i");
  registry.OnRecord(RecordOf(id, 1, false), Millis(100), Millis(0));
  registry.OnRecord(RecordOf(id, 2, false), Millis(200), Millis(0));
  REQUIRE_FALSE(registry.OnLeavingResponse(id, Millis(150), Millis(250)));
  registry.OnLeavingNews(id, 1, Millis(250));
  REQUIRE(registry.Find(id)->IsUsable(Millis(250)));
  REQUIRE(registry.OnLeavingResponse(id, Millis(200), Millis(300)));
  REQUIRE_FALSE(registry.OnLeavingResponse(id, Millis(200), Millis(301)));
  REQUIRE_FALSE(registry.Find(id)->IsUsable(Millis(300)));
}

// Guards against: an upstream that is missing is kept although it was found out
// that its entry will not return, or is given up although it may.
TEST_CASE("missing upstreams follow what was found out about their return",
          "[membership]") {
  UpstreamRegistry registry(NoHooks());
  const UpstreamId id("i");
  registry.OnRecord(RecordOf(id, 1, false), Millis(100), Millis(0));
  registry.OnRecord({id, std::nullopt}, Millis(200), Millis(900));
  registry.SetReturnDeadline(Millis(2200));
  REQUIRE(registry.ExpireMissing(Millis(2199)) == Millis(2200));
  REQUIRE(registry.Find(id)->IsUsable(Millis(2199)));
  registry.SetReturnDeadline(Millis(2199));
  REQUIRE_FALSE(registry.Find(id)->IsUsable(Millis(2199)));
  registry.ExpireMissing(Millis(2199));
  REQUIRE(registry.Find(id) == nullptr);
}

// Guards against: any order of entries, removals, responses and news, with a
// store that repeats what was written earlier, that puts a start back into use
// which is known to leave; or a new start that stays unused.
TEST_CASE("a start that leaves is never used again, and a new one is",
          "[membership]") {
  constexpr int kSteps = 200000;
  constexpr int kUpstreams = 6;
  constexpr int kSeeds = 5;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto draw = [&random](int n) { return static_cast<int>(random() % n); };
    UpstreamRegistry registry(NoHooks());
    // Of each upstream: its latest start, and whether that is known to leave
    // and in the store.
    std::map<UpstreamId, int64_t> starts;
    std::map<UpstreamId, bool> leaves;
    std::map<UpstreamId, bool> has_entry;
    int64_t last_start = 0;
    Millis now{1000};
    for (int step = 0; step < kSteps; ++step) {
      now = now + Millis(draw(20) + 1);
      const UpstreamId id("i-" + std::to_string(draw(kUpstreams)));
      switch (draw(8)) {
        case 0:
          starts[id] = ++last_start;
          leaves[id] = false;
          has_entry[id] = true;
          registry.OnRecord(RecordOf(id, starts[id], false), now, Millis(0));
          break;
        case 1:
          if (has_entry[id]) {
            leaves[id] = true;
            registry.OnRecord(RecordOf(id, starts[id], true), now, Millis(0));
          }
          break;
        case 2:
          has_entry[id] = false;
          registry.OnRecord({id, std::nullopt}, now,
                            draw(2) == 0 ? now + kReturnTime : Millis(0));
          break;
        case 3:  // An entry of before, or one that returns.
          if (starts[id] != 0) {
            has_entry[id] = true;
            registry.OnRecord(RecordOf(id, starts[id], false), now, Millis(0));
          }
          break;
        case 4:
          if (registry.OnLeavingResponse(id, now, now)) {
            leaves[id] = true;
          }
          break;
        case 5:
          registry.OnLeavingNews(id, starts[id] - draw(2), now);
          if (UpstreamState* state = registry.Find(id)) {
            leaves[id] = leaves[id] || state->membership.state() ==
                                           UpstreamMembership::State::kLeaving;
          }
          break;
        case 6:
          // As if an earlier start had answered.
          registry.OnLeavingResponse(
              id,
              registry.Find(id) != nullptr
                  ? registry.Find(id)->known_since - Millis(1)
                  : now,
              now);
          break;
        default:
          registry.ExpireMissing(now);
      }
      for (const auto& [upstream, state] : registry.all()) {
        if (leaves[upstream]) {
          REQUIRE_FALSE(state->IsUsable(now));
        } else if (has_entry[upstream]) {
          REQUIRE(state->IsUsable(now));
        }
      }
    }
  }
}

}  // namespace bilberrypitch
