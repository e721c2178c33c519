// Tests of how long a loaded adapter is kept for requests that are not sent
// yet.
#include <catch2/catch.hpp>

#include "serving/engine_placement.h"

namespace bilberrypitch {
namespace {

const ModelId kModel("base");
const MachineId kMachine("entry-1");
const MachineId kOther("entry-2");

ModelRef Adapter(const char* name) { return {kModel, AdapterId(name)}; }

// A placement with one slot, in which adapter "a" is loaded for `kMachine`.
EnginePlacement PlacementWithAdapter(Millis now) {
  EngineProfile profile;
  profile.weights_memory_mb = 1000;
  profile.adapter_slots = 1;
  ModelSpec model;
  model.id = kModel;
  profile.models.push_back(model);
  EnginePlacement placement;
  placement.SetEngine(profile);
  placement.Reset(now);
  placement.TakeActions(true, now);
  EngineReport report;
  report.models.push_back({kModel, 1, {{AdapterId("a"), 1}}});
  placement.OnReport(true, report, now);
  placement.OnLoadRequest(kMachine, Adapter("a"), 0, now);
  return placement;
}

bool OrdersUnload(EnginePlacement* placement, Millis now) {
  placement->OnLoadRequest(kOther, Adapter("b"), 0, now, true);
  for (const PlacementAction& action : placement->TakeActions(true, now)) {
    if (action.kind == PlacementAction::Kind::kSendOrder) {
      return action.order_action == OrderAction::kUnload;
    }
  }
  return false;
}

}  // namespace

// Guards against: under load a request waits at an engine for its prompt's
// turn, its adapter is evicted meanwhile, and it asks one engine after the
// other to load the adapter for nothing.
TEST_CASE("an adapter is kept while a prompt waits for its turn", "[keep]") {
  Millis now(10000);
  EnginePlacement placement = PlacementWithAdapter(now);
  for (int i = 0; i < 20; ++i) {
    placement.OnExpectedUse(kMachine, Adapter("a"), now);
    now = now + Millis(120);
    REQUIRE_FALSE(OrdersUnload(&placement, now));
  }
}

TEST_CASE("an adapter that no request waits for any longer is evicted",
          "[keep]") {
  Millis now(10000);
  EnginePlacement placement = PlacementWithAdapter(now);
  placement.OnExpectedUse(kMachine, Adapter("a"), now);
  SECTION("at once if its requests have ended") {
    placement.OnLoadRequestEnded(kMachine, Adapter("a"), now);
    REQUIRE(OrdersUnload(&placement, now + Millis(1)));
  }
  SECTION("after a time if nothing is heard of them") {
    REQUIRE(OrdersUnload(&placement, now + Millis(400)));
  }
}

}  // namespace bilberrypitch
