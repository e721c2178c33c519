// Tests of the learned load time of adapters, alone and in the placement of an
// engine.
#include <algorithm>
#include <catch2/catch.hpp>

#include "serving/adapter_load_time.h"
#include "serving/engine_placement.h"

namespace bilberrypitch {
namespace {

const ModelId kModel("base");
const ModelRef kAdapter{kModel, AdapterId("a1")};
const MachineId kMachine("entry-1");

// An engine with the base model and this many adapter slots.
EnginePlacement MakePlacement(uint32_t slots, Millis now) {
  EngineProfile profile;
  profile.weights_memory_mb = 1000;
  profile.adapter_slots = slots;
  ModelSpec model;
  model.id = kModel;
  profile.models.push_back(model);
  EnginePlacement placement;
  placement.SetEngine(profile);
  placement.Reset(now);
  placement.TakeActions(true, now);
  EngineReport report;
  report.models.push_back({kModel, 1, {}});
  placement.OnReport(true, report, now);
  return placement;
}

size_t Count(const std::vector<PlacementAction>& actions,
             PlacementAction::Kind kind) {
  return static_cast<size_t>(
      std::count_if(actions.begin(), actions.end(),
                    [kind](const auto& it) { return it.kind == kind; }));
}

// Loads the adapter on an engine that takes `load_time` for it. Returns how
// many requests arrived before the load was complete.
int LoadOnce(EnginePlacement* placement, const ModelRef& adapter,
             Millis load_time, int64_t* orders, Millis* now) {
  placement->OnLoadRequest(kMachine, adapter, 0, *now, true);
  int early = 0;
  std::optional<Millis> began_at;
  EngineReport report;
  report.models.push_back({kModel, 1, {}});
  report.loading.push_back(adapter);
  for (const Millis end = *now + Millis(5000); *now < end;
       *now = *now + Millis(1)) {
    placement->OnLoadRequest(kMachine, adapter, 0, *now, true);
    for (const PlacementAction& action : placement->TakeActions(true, *now)) {
      if (action.kind == PlacementAction::Kind::kFetchReport) {
        report.orders_accepted = *orders;
        placement->OnReport(true, report, *now);
      } else if (action.kind == PlacementAction::Kind::kSendOrder) {
        ++*orders;
        bool loads = action.order_action == OrderAction::kLoad;
        began_at = loads ? std::optional(*now) : std::nullopt;
        placement->OnOrderOutcome(
            loads ? OrderOutcome::kStarted : OrderOutcome::kAlreadyDone, *now);
      }
    }
    if (!placement->Holds(adapter, 0)) {
      continue;
    }
    if (*now - *began_at >= load_time) {
      return early;
    }
    ++early;
    placement->OnAdapterMissing(adapter, *now);
  }
  return -1;
}

}  // namespace

// Guards against: on a deployment whose loads take longer than a fixed
// estimate, nearly each request that waited for an adapter is sent too early
// and rejected.
TEST_CASE("a load time beyond the estimate is learned from a few rejections",
          "[load_time]") {
  const Millis load_time = GENERATE(Millis(288), Millis(600), Millis(1200));
  Millis now(1000);
  EnginePlacement placement = MakePlacement(1, now);
  int early = 0;
  int64_t orders = 0;
  for (int i = 0; i < 60; ++i) {
    ModelRef adapter{kModel, AdapterId("a" + std::to_string(i))};
    int of_load = LoadOnce(&placement, adapter, load_time, &orders, &now);
    REQUIRE(of_load >= 0);
    early += i >= 10 ? of_load : 0;
  }
  // A tenth of the loads after the first ones.
  REQUIRE(early <= 5);
}

TEST_CASE("the estimate falls again when loads have become faster",
          "[load_time]") {
  AdapterLoadTime load_time;
  load_time.OnRejected(Millis(1000), 0, Millis(0));
  REQUIRE(load_time.Estimate() > Millis(1000));
  load_time.OnLoadedInTime(Millis(5000));
  REQUIRE(load_time.Estimate() > Millis(1000));
  for (int i = 0; i < 200; ++i) {
    load_time.OnLoadedInTime(Millis(11000 + i));
  }
  REQUIRE(load_time.Estimate() < Millis(255));
}

TEST_CASE("a request that arrives early makes no other read of the engine",
          "[load_time]") {
  Millis now(1000);
  EnginePlacement placement = MakePlacement(1, now);
  placement.OnLoadRequest(kMachine, kAdapter, 0, now);
  placement.TakeActions(true, now);
  placement.OnOrderOutcome(OrderOutcome::kStarted, now);
  now = now + Millis(255);
  placement.TakeActions(true, now);
  REQUIRE(placement.Holds(kAdapter, 0));
  placement.OnAdapterMissing(kAdapter, now);
  REQUIRE_FALSE(placement.Holds(kAdapter, 0));
  REQUIRE(placement.loading() == 1);
  auto actions = placement.TakeActions(true, now);
  REQUIRE(Count(actions, PlacementAction::Kind::kFetchReport) == 0);
  REQUIRE(Count(actions, PlacementAction::Kind::kNotifyEvicted) == 1);
  now = now + Millis(25);
  placement.TakeActions(true, now);
  REQUIRE(placement.Holds(kAdapter, 0));
}

// Guards against: an order that the engine never carried out counts as a load
// that is only slow, for ever.
TEST_CASE("after several early requests the engine is asked what it holds",
          "[load_time]") {
  Millis now(1000);
  EnginePlacement placement = MakePlacement(1, now);
  placement.OnLoadRequest(kMachine, kAdapter, 0, now);
  placement.TakeActions(true, now);
  placement.OnOrderOutcome(OrderOutcome::kStarted, now);
  size_t reports = 0;
  for (int i = 0; i < 1000 && reports == 0; ++i) {
    now = now + Millis(1);
    auto actions = placement.TakeActions(true, now);
    reports += Count(actions, PlacementAction::Kind::kFetchReport);
    if (placement.Holds(kAdapter, 0)) {
      placement.OnAdapterMissing(kAdapter, now);
    }
  }
  REQUIRE(reports == 1);
}

}  // namespace bilberrypitch
