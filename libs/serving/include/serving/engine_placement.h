// Placement of base models and adapters on one engine: a state machine, run by
// the machine that owns the engine, that decides what to load and to unload.
//
// Orders are sent one at a time, each conditional on the engine's count of
// accepted orders. An order whose response was lost therefore becomes void as
// soon as the engine accepts another one. Whatever is uncertain is read again
// from the engine's report.
//
// An engine never unloads an adapter while requests run on it; the unload waits
// until they end. Evicting the wrong adapter thus costs time but breaks no
// request, so eviction candidates can be chosen from the usage reports of the
// instances, which may be out of date.
//
// No I/O: the calling code carries out the actions and passes in the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "serving/adapter_load_time.h"
#include "serving/config.h"
#include "serving/engine_api.h"

namespace bilberrypitch {

// Something that the owner of the engine has to do.
struct PlacementAction {
  enum class Kind : uint8_t {
    kFetchReport,    // Fetch the engine's report.
    kSendOrder,      // Send an order to the engine.
    kNotifyReady,    // Notify `machine` that `target` is loaded.
    kNotifyEvicted,  // Notify `machine` that `target` is being unloaded.
    kNotifyFull,     // Notify `machine` that no slot is free for `target`.
    kNotifyLoading,  // Notify `machine` that `target` is being loaded.
  };
  Kind kind = Kind::kFetchReport;
  OrderAction order_action = OrderAction::kLoad;
  ModelRef target;
  int64_t version = 0;               // Of an adapter; 0: not stated.
  int64_t expected_order_count = 0;  // See EngineOrder.
  MachineId machine;                 // To notify.
};

// Not thread-safe.
class EnginePlacement {
 public:
  struct Limits {
    uint32_t adapter_slots = 0;
    double weights_memory_mb = 0;       // For base models and adapters.
    uint32_t max_concurrent_loads = 4;  // Of adapters.
  };

  EnginePlacement() = default;

  // Sets the capacity of the engine and the models of its service.
  void SetEngine(const EngineProfile& profile);
  // A machine has requests that need this adapter in at least this version. If
  // no slot is free, the machine is notified, unless it sets `reserve_slot` or
  // a load request for the adapter is queued already: then the load request is
  // queued. Queued load requests get free slots in the order in which they were
  // first made, and are dropped if they are not renewed.
  void OnLoadRequest(const MachineId& machine, const ModelRef& target,
                     int64_t version, Millis now, bool reserve_slot = false);
  // The machine's requests have ended or moved to other engines.
  void OnLoadRequestEnded(const MachineId& machine, const ModelRef& target,
                          Millis now);
  // Number of the machine's requests that currently run on the adapter.
  void OnUsage(const MachineId& machine, const ModelRef& target,
               uint32_t running, Millis now);
  // A request of the machine is about to run on the adapter.
  void OnExpectedUse(const MachineId& machine, const ModelRef& target,
                     Millis now);
  // The engine rejected a request because it does not hold the adapter.
  void OnAdapterMissing(const ModelRef& target, Millis now);
  // The adapter has to be used in this version or a newer one from now on.
  void OnRequiredVersion(const ModelRef& target, int64_t version, Millis now);
  void OnMachineRemoved(const MachineId& machine);
  // Discards the state of the engine: it restarted, or this machine became its
  // owner.
  void Reset(Millis now);

  // The fetched report arrived, or failed (`ok` false).
  void OnReport(bool ok, const EngineReport& report, Millis now);
  void OnOrderOutcome(OrderOutcome outcome, Millis now);

  // Returns the actions to carry out now. An order is outstanding until
  // OnOrderOutcome, a fetched report until OnReport. `may_order`: this machine
  // currently has the right to send orders to the engine.
  std::vector<PlacementAction> TakeActions(bool may_order, Millis now);
  // Returns when TakeActions has to be called again; zero: not before the next
  // event.
  Millis NextWakeup(Millis now) const;

  // Whether the adapter is loaded in this version or a newer one.
  bool Holds(const ModelRef& target, int64_t version) const;
  // Number of adapters whose demand is tracked.
  size_t tracked_adapters() const { return demand_.size(); }
  // Numbers of loaded adapters and of those being loaded.
  size_t resident() const { return resident_.size(); }
  size_t loading() const { return loading_.size(); }
  // Whether the state is confirmed by a report of the engine.
  bool synced() const { return synced_; }

 private:
  struct Usage {
    uint32_t running = 0;
    Millis updated_at;
  };
  // A load whose end is expected and not known.
  struct AssumedLoad {
    Millis began_at;
    Millis ended_at;
    bool fetched = false;  // The engine had not held the adapter recently.
    int extensions = 0;    // How often the end was expected too early.
  };
  struct Resident {
    int64_t version = 0;
    std::set<MachineId> notified;  // Machines that regard it as loaded.
    // Until the engine confirms it or rejects a request.
    std::optional<AssumedLoad> assumed;
  };
  struct Loading {
    int64_t version = 0;
    Millis due;  // Expected end of the load.
    Millis began_at;
    bool fetched = false;
    int extensions = 0;
  };
  struct LoadRequest {
    int64_t version = 0;
    Millis since;
    Millis renewed_at;  // Machines renew it while requests wait.
    std::set<MachineId> machines;
  };
  struct Demand {
    double score = 0;  // Decayed count of load requests and uses.
    Millis scored_at;
    std::map<MachineId, Usage> usage;
  };
  struct OutstandingOrder {
    OrderAction action = OrderAction::kLoad;
    ModelRef target;
    int64_t version = 0;
  };

  // Whether the report is older than one that was accepted: a late copy.
  bool IsStale(const EngineReport& report) const;
  // Marks loads as complete once their expected time has passed.
  void CompleteLoads(Millis now);
  // Waits longer for a load that was assumed to be complete just now. Returns
  // false if there is none.
  bool ResumeLoad(const ModelRef& target, Millis now);
  // Learns from a load after which no request was rejected.
  void ConfirmLoad(Resident* resident, Millis now);
  void QueueNotification(PlacementAction::Kind kind, const ModelRef& target,
                         const MachineId& machine);
  // Notifies the machines whose load request for `target` is fulfilled.
  void NotifyReady(const ModelRef& target, Millis now,
                   std::vector<PlacementAction>* actions);
  std::optional<PlacementAction> NextOrder(Millis now);
  std::optional<PlacementAction> BaseModelOrder() const;
  std::optional<PlacementAction> AdapterOrder(Millis now);
  // The adapter with the least demand among those that are neither in use nor
  // requested nor being loaded in another version; none if there is none.
  std::optional<ModelRef> EvictionCandidate(Millis now) const;
  PlacementAction MakeOrder(OrderAction order_action, const ModelRef& target,
                            int64_t version) const;
  // Whether a load could start now, or after those already requested.
  bool HasSlotFor(const ModelRef& target, Millis now) const;
  size_t SlotsTaken() const;
  // Whether one more adapter fits into the slots and the memory.
  bool Fits(const ModelRef& target) const;
  bool InUse(const ModelRef& target, Millis now) const;
  // Decayed demand of the adapter.
  double Score(const ModelRef& target, Millis now) const;
  // Stops tracking adapters without recent demand or use.
  void TrimDemand(Millis now);
  void AddDemand(const ModelRef& target, double weight, Millis now);
  void ApplyUnload(const ModelRef& target, Millis now);
  const ModelSpec* SpecOf(const ModelId& model) const;
  bool WasRecentlyHeld(const ModelRef& target) const;
  void RecordRecentlyHeld(const ModelRef& target);

  EngineProfile profile_;
  Limits limits_;
  bool synced_ = false;
  bool report_outstanding_ = false;
  Millis report_not_before_;
  std::optional<OutstandingOrder> order_;
  // An unload that waits for running requests: until they end, the engine
  // rejects every other order.
  std::optional<ModelRef> unloading_;
  Millis unloading_since_;
  Millis order_not_before_;
  int64_t orders_accepted_ = 0;  // As counted by this owner; see OnReport.
  Millis last_accepted_at_;
  // Start and order count of the newest report that was accepted. Later reports
  // of this start have no lower count.
  int64_t reported_start_ms_ = 0;
  int64_t reported_count_ = 0;
  std::map<ModelId, int64_t> models_;  // Loaded base models.
  std::optional<ModelId> loading_model_;
  Millis loading_model_due_;
  std::map<ModelRef, Resident> resident_;
  std::map<ModelRef, Loading> loading_;
  std::map<ModelRef, LoadRequest> load_requests_;
  std::map<ModelRef, Demand> demand_;
  size_t demand_trim_size_ = 0;  // Size of `demand_` that triggers a trim.
  AdapterLoadTime load_time_;
  // Adapters that the engine held recently, newest last; they load faster.
  std::vector<ModelRef> recently_held_;
  std::vector<PlacementAction> pending_notifications_;
};

}  // namespace bilberrypitch
