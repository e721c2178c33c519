// Asks the owners of engines to load the adapters that this instance's requests
// need, and reports to them which adapters are in use.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "serving/ids.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class OrderService;
class Ownership;
class PeerMessenger;
enum class AdapterStatus : uint8_t;
namespace schema {
class AdapterMissing;
class AdapterState;
class AdapterUse;
class WantAdapter;
}  // namespace schema

// Forwards to the local OrderService where this instance is the owner. Messages
// for an engine without an owner are dropped.
//
// Must be used on the event loop's thread only.
class AdapterService {
 public:
  // All of them have to be set.
  struct Hooks {
    // Receives the status of an adapter from the owner of the engine.
    std::function<void(const UpstreamId& engine, const ModelRef& target,
                       int64_t version, AdapterStatus status)>
        on_status;
    // The tokens of the prompts that wait for an engine owned by this instance.
    std::function<int64_t(const UpstreamId& engine)> queued_tokens;
    // Receives the same from the owner of an engine.
    std::function<void(const UpstreamId& engine, int64_t tokens)>
        on_queued_tokens;
  };

  // Starts to report the adapters in use at regular intervals.
  AdapterService(EventLoop* loop, MachineId self, Ownership* ownership,
                 OrderService* orders, PeerMessenger* peers, Hooks hooks);

  // Sends a status as the owner of the engine. `machine` may be this one.
  void SendStatus(const MachineId& machine, const UpstreamId& engine,
                  const ModelRef& target, int64_t version,
                  AdapterStatus status);
  // Messages from other instances.
  void OnLoadRequest(const MachineId& from, const schema::WantAdapter& want);
  void OnUsage(const MachineId& from, const schema::AdapterUse& use);
  void OnAdapterMissing(const schema::AdapterMissing& missing);
  void OnAdapterStatus(const schema::AdapterState& state);

  // Requests that the adapter be loaded in `version` or later. `reserve_slot`:
  // it gets the next slot that becomes free.
  void RequestLoad(const UpstreamId& engine, const ModelRef& target,
                   int64_t version, bool reserve_slot);
  // A request starts (+1) or stops (-1) waiting for the adapter on the engine.
  // The owner is notified when no request waits any longer.
  void UpdateWaitCount(const UpstreamId& engine, const ModelRef& target,
                       int change);
  // The engine rejected a request because it does not hold the adapter.
  void ReportMissing(const UpstreamId& engine, const ModelRef& target);
  // A request that uses the adapter started (+1) or ended (-1) on the engine.
  void UpdateUseCount(const UpstreamId& engine, const ModelRef& target,
                      int change);

 private:
  using EngineAdapter = std::pair<UpstreamId, ModelRef>;

  // Empty if the engine has no owner.
  MachineId OwnerOf(const UpstreamId& engine) const;
  void SendChangedUses();
  void SendAllUses();
  void SendUse(const EngineAdapter& key, int running);

  const MachineId self_;
  Ownership* const ownership_;
  OrderService* const orders_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  // Requests per engine and adapter. Neither map holds zeros.
  std::map<EngineAdapter, int> running_counts_;
  std::map<EngineAdapter, int> waiting_counts_;
  std::set<EngineAdapter> changed_uses_;  // Not reported yet.
  Timer use_update_timer_;
  Timer use_refresh_timer_;
};

}  // namespace bilberrypitch
