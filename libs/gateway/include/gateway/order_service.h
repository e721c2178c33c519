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
class LeaseKeeper;
class Ownership;
class UpstreamRegistry;

enum class AdapterPlace : uint8_t {
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
                       AdapterPlace place)>
        tell;
    // What the engine is like; null: its service is not configured.
    std::function<const EngineProfile*(const UpstreamId& engine)> spec_of;
    // The version of the adapter that is named; 0: none.
    std::function<int64_t(const ModelRef& target)> named_version;
  };

  OrderService(EventLoop* loop, MachineId self, Ownership* ownership,
               LeaseKeeper* lease, UpstreamRegistry* upstreams,
               EngineApi* engines, Hooks hooks);
  ~OrderService();

  // The owner of an engine may have changed.
  void OnOwnership(const UpstreamId& engine);
  void OnEngineStarted(const UpstreamId& engine);
  void OnEngineLeft(const UpstreamId& engine);
  void OnWant(const MachineId& machine, const UpstreamId& engine,
              const ModelRef& target, int64_t version, bool insists);
  void OnWantEnded(const MachineId& machine, const UpstreamId& engine,
                   const ModelRef& target);
  void OnUse(const MachineId& machine, const UpstreamId& engine,
             const ModelRef& target, uint32_t running);
  void OnMissing(const UpstreamId& engine, const ModelRef& target);
  void OnVersion(const ModelRef& target, int64_t version);
  void OnMachineGone(const MachineId& machine);

  uint64_t orders() const { return orders_; }
  uint64_t reports() const { return reports_; }

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
  LeaseKeeper* const lease_;
  UpstreamRegistry* const upstreams_;
  EngineApi* const engines_;
  const Hooks hooks_;
  std::map<UpstreamId, std::shared_ptr<Placed>> placed_;
  uint64_t orders_ = 0;
  uint64_t reports_ = 0;
};

}  // namespace bilberrypitch
