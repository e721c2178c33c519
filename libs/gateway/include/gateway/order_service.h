// Carries out what the placements of the engines decide that this machine
// owns.
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

enum class AdapterStatus : uint8_t {
  kReady,    // It is there.
  kEvicted,  // It leaves.
  kFull,     // It is not there, and no place is free.
  kLoading,  // It is on its way.
};

// On the loop's thread only.
class OrderService {
 public:
  struct Hooks {
    // Tell a machine how it stands with an adapter on an engine.
    std::function<void(const MachineId& machine, const UpstreamId& engine,
                       const ModelRef& target, int64_t version,
                       AdapterStatus place)>
        notify_status;
    // What the engine is like; null: its service is not configured.
    std::function<const EngineProfile*(const UpstreamId& engine)>
        engine_profile;
    // The version of the adapter that is named; 0: none.
    std::function<int64_t(const ModelRef& target)> required_version;
  };

  OrderService(EventLoop* loop, MachineId self, Ownership* ownership,
               LeaseManager* lease, UpstreamRegistry* upstreams,
               EngineApi* engines, Hooks hooks);
  ~OrderService();

  // The owner of an engine may have changed.
  void OnOwnershipChanged(const UpstreamId& engine);
  void OnEngineStarted(const UpstreamId& engine);
  void OnEngineLeft(const UpstreamId& engine);
  void OnLoadRequest(const MachineId& machine, const UpstreamId& engine,
                     const ModelRef& target, int64_t version, bool insists);
  void OnLoadRequestEnded(const MachineId& machine, const UpstreamId& engine,
                          const ModelRef& target);
  void OnUsage(const MachineId& machine, const UpstreamId& engine,
               const ModelRef& target, uint32_t running);
  void OnAdapterMissing(const UpstreamId& engine, const ModelRef& target);
  void OnRequiredVersion(const ModelRef& target, int64_t version);
  void OnMachineRemoved(const MachineId& machine);

  uint64_t order_count() const { return orders_; }
  uint64_t report_count() const { return reports_; }

 private:
  struct Placed;

  Placed* Find(const UpstreamId& engine);
  // Does what is due and sets the timer for what comes.
  void Run(Placed* it);
  void Do(Placed* it, const PlacementAction& action);
  void Report(Placed* it);
  void Order(Placed* it, const PlacementAction& action);

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  LeaseManager* const lease_;
  UpstreamRegistry* const upstreams_;
  EngineApi* const engines_;
  const Hooks hooks_;
  std::map<UpstreamId, std::shared_ptr<Placed>> placed_;
  uint64_t orders_ = 0;
  uint64_t reports_ = 0;
};

}  // namespace bilberrypitch
