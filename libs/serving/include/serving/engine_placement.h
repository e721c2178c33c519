// The owner's decisions for one engine: which base model and which adapters it
// holds.
//
// A state machine without I/O. Orders go out one at a time, each bound to the
// engine's count of accepted orders, so that an order whose answer was lost
// becomes void as soon as another one is accepted. Whatever is not sure is read
// again from the engine's report.
//
// An engine never unloads what runs on it; it waits. So a wrong victim costs
// time only, and the choice of victims goes by what instances told of use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "serving/config.h"
#include "serving/engine_api.h"

namespace bilberrypitch {

// What the owner should do next.
struct PlacementAction {
  enum class Kind : uint8_t {
    kFetchReport,    // Ask the engine for its report.
    kSendOrder,      // Give an order.
    kNotifyReady,    // Tell `machine` that `target` is there.
    kNotifyEvicted,  // Tell `machine` that `target` leaves.
    kNotifyFull,     // Tell `machine` that there is no place for `target` now.
    kNotifyLoading,  // Tell `machine` that `target` is on its way.
  };
  Kind kind = Kind::kFetchReport;
  OrderAction order_action = OrderAction::kLoad;
  ModelRef target;
  int64_t version = 0;
  int64_t expected_order_count = 0;
  MachineId machine;
};

class EnginePlacement {
 public:
  struct Limits {
    uint32_t adapter_slots = 0;
    double weights_mb = 0;
    uint32_t max_concurrent_loads = 4;  // Adapters on their way to the engine.
  };

  EnginePlacement() = default;

  void SetEngine(const EngineProfile& spec);
  // A machine has requests that need this adapter, of that version at least.
  // One that insists takes the next place that gets free; others are told when
  // there is none.
  void OnLoadRequest(const MachineId& machine, const ModelRef& target,
                     int64_t version, Millis now, bool insists = false);
  // The machine's requests have gone elsewhere or ended.
  void OnLoadRequestEnded(const MachineId& machine, const ModelRef& target,
                          Millis now);
  // How many requests of a machine run on the adapter here.
  void OnUsage(const MachineId& machine, const ModelRef& target,
               uint32_t running, Millis now);
  // A machine was told by the engine that the adapter is not there.
  void OnAdapterMissing(const ModelRef& target, Millis now);
  // A newer version of the adapter is to be used.
  void OnRequiredVersion(const ModelRef& target, int64_t version, Millis now);
  void OnMachineRemoved(const MachineId& machine);
  // The engine started again, or this machine became its owner.
  void Reset(Millis now);

  void OnReport(bool ok, const EngineReport& report, Millis now);
  void OnOrderOutcome(OrderOutcome outcome, Millis now);

  // Actions to carry out now. An order or report is outstanding until its
  // On... call. `may_order`: the right to order holds.
  std::vector<PlacementAction> TakeActions(bool may_order, Millis now);
  // When TakeActions should be called again; zero: not before the next event.
  Millis NextWakeup(Millis now) const;

  bool Holds(const ModelRef& target, int64_t version) const;
  // Adapters whose demand is remembered.
  size_t tracked_adapters() const { return demand_.size(); }
  size_t resident() const { return resident_.size(); }
  size_t loading() const { return loading_.size(); }
  bool synced() const { return synced_; }

 private:
  struct Use {
    uint32_t running = 0;
    Millis at;
  };
  struct Resident {
    int64_t version = 0;
    std::set<MachineId> told;  // Believe that it is here.
  };
  struct Loading {
    int64_t version = 0;
    Millis due;
  };
  struct Wanted {
    int64_t version = 0;
    Millis since;
    Millis asked;  // Last time: who still waits asks again.
    std::set<MachineId> machines;
  };
  struct Demand {
    double score = 0;  // Decayed count of wants and uses.
    Millis at;
    std::map<MachineId, Use> uses;
  };
  struct Outstanding {
    OrderAction verb = OrderAction::kLoad;
    ModelRef target;
    int64_t version = 0;
  };

  void FinishLoads(Millis now);
  void TellLater(PlacementAction::Kind kind, const ModelRef& target,
                 const MachineId& machine);
  void TellReady(const ModelRef& target, Millis now,
                 std::vector<PlacementAction>* actions);
  std::optional<PlacementAction> NextOrder(Millis now);
  std::optional<PlacementAction> BaseModelOrder() const;
  std::optional<PlacementAction> AdapterOrder(Millis now);
  std::optional<ModelRef> Victim(Millis now) const;
  PlacementAction Order(OrderAction verb, const ModelRef& target,
                        int64_t version) const;
  bool HasPlaceFor(const ModelRef& target, Millis now) const;
  size_t SlotsTaken() const;
  bool Fits(const ModelRef& target) const;
  bool InUse(const ModelRef& target, Millis now) const;
  double Score(const ModelRef& target, Millis now) const;
  void TrimDemand(Millis now);
  void Touch(const ModelRef& target, double weight, Millis now);
  void ApplyUnload(const ModelRef& target);
  const ModelSpec* SpecOf(const ModelId& model) const;
  Millis LoadEstimate(const ModelRef& target) const;
  void RememberHeld(const ModelRef& target);

  EngineProfile spec_;
  Limits limits_;
  bool synced_ = false;
  bool report_outstanding_ = false;
  Millis report_not_before_;
  std::optional<Outstanding> order_;
  // An unload that waits for its runs: the engine takes no other order yet.
  std::optional<ModelRef> leaving_;
  Millis leaving_since_;
  Millis order_not_before_;
  int64_t orders_accepted_ = 0;        // As this owner counts; see OnReport.
  Millis accepted_at_;                 // The last one.
  std::map<ModelId, int64_t> models_;  // Base models that are there.
  std::optional<ModelId> model_coming_;
  Millis model_due_;
  std::map<ModelRef, Resident> resident_;
  std::map<ModelRef, Loading> loading_;
  std::map<ModelRef, Wanted> wanted_;
  std::map<ModelRef, Demand> demand_;
  size_t trim_demand_at_ = 0;  // Its size from which it is trimmed.
  // Adapters that the engine held lately, newest last: these load fast.
  std::vector<ModelRef> held_;
  std::vector<PlacementAction> pending_tells_;
};

}  // namespace bilberrypitch
