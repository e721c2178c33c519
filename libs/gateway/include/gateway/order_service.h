// Carries out the placement decisions for the engines that this machine owns:
// fetches their reports, sends them orders and notifies the other machines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "serving/engine_placement.h"
#include "serving/ids.h"

namespace bilberrypitch {

class EngineApi;
class EventLoop;
class LeaseManager;
class Ownership;
class UpstreamRegistry;

// The status of an adapter on an engine.
enum class AdapterStatus : uint8_t {
  kReady,    // The adapter is loaded.
  kEvicted,  // The adapter is being unloaded.
  kFull,     // The adapter is not loaded, and no slot is free.
  kLoading,  // The adapter is being loaded.
};

// Runs one EnginePlacement for each owned engine. The pointers passed to the
// constructor must outlive the service. Must be used on the event loop's thread
// only.
class OrderService {
 public:
  struct Hooks {
    // Sends a machine the status of an adapter on an engine.
    std::function<void(const MachineId& machine, const UpstreamId& engine,
                       const ModelRef& target, int64_t version,
                       AdapterStatus status)>
        notify_status;
    // Returns the profile of the engine, or null if its service is not
    // configured.
    std::function<const EngineProfile*(const UpstreamId& engine)>
        engine_profile;
    // Returns the required version of the adapter, or 0 if there is none.
    std::function<int64_t(const ModelRef& target)> required_version;
  };

  OrderService(EventLoop* loop, MachineId self, Ownership* ownership,
               LeaseManager* lease_manager, UpstreamRegistry* upstreams,
               EngineApi* engines, Hooks hooks);
  ~OrderService();

  // Must be called when the owner of an engine may have changed.
  void OnOwnershipChanged(const UpstreamId& engine);
  void OnEngineStarted(const UpstreamId& engine);
  void OnEngineUnavailable(const UpstreamId& engine);
  // Requests of `machine` need the adapter `target`, at least in `version`.
  // With `reserve_slot` the adapter gets the next free slot.
  void OnLoadRequest(const MachineId& machine, const UpstreamId& engine,
                     const ModelRef& target, int64_t version,
                     bool reserve_slot);
  void OnLoadRequestEnded(const MachineId& machine, const UpstreamId& engine,
                          const ModelRef& target);
  // `running`: the number of requests of `machine` that use the adapter.
  void OnUsage(const MachineId& machine, const UpstreamId& engine,
               const ModelRef& target, uint32_t running);
  // A prompt of `machine` for the adapter waits to be sent to the engine.
  void OnPromptWaiting(const MachineId& machine, const UpstreamId& engine,
                       const ModelRef& target);
  void OnAdapterMissing(const UpstreamId& engine, const ModelRef& target);
  void OnRequiredVersion(const ModelRef& target, int64_t version);
  void OnMachineRemoved(const MachineId& machine);

  uint64_t order_count() const { return order_count_; }
  uint64_t report_count() const { return report_count_; }

 private:
  struct OwnedEngine;

  OwnedEngine* Find(const UpstreamId& engine);
  // Executes the actions that are due and sets the timer for the next ones.
  void RunPlacement(OwnedEngine* owned);
  void Execute(OwnedEngine* owned, const PlacementAction& action);
  void FetchReport(OwnedEngine* owned);
  void SendOrder(OwnedEngine* owned, const PlacementAction& action);

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  LeaseManager* const lease_manager_;
  UpstreamRegistry* const upstreams_;
  EngineApi* const engines_;
  const Hooks hooks_;
  std::map<UpstreamId, std::shared_ptr<OwnedEngine>> owned_engines_;
  uint64_t order_count_ = 0;
  uint64_t report_count_ = 0;
};

}  // namespace bilberrypitch
