// This instance's side of the adapters that its requests use: it asks owners
// for adapters and tells them of uses.
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

// On the loop's thread only.
class AdapterService {
 public:
  // An owner's word about one of its engines.
  using StatusCallback =
      std::function<void(const UpstreamId& engine, const ModelRef& target,
                         int64_t version, AdapterStatus place)>;

  // Tells what runs every now and then from the start on.
  AdapterService(EventLoop* loop, MachineId self, Ownership* ownership,
                 OrderService* orders, PeerMessenger* peers,
                 StatusCallback on_place);

  // As the owner: tells a machine, this one too.
  void SendStatus(const MachineId& machine, const UpstreamId& engine,
                  const ModelRef& target, int64_t version, AdapterStatus place);
  // What other instances say.
  void OnLoadRequest(const MachineId& from, const schema::WantAdapter& want);
  void OnUsage(const MachineId& from, const schema::AdapterUse& use);
  void OnAdapterMissing(const schema::AdapterMissing& missing);
  void OnAdapterStatus(const schema::AdapterState& state);

  // Requests wait for an adapter in that version at least; `insists`: they get
  // the next place.
  void RequestLoad(const UpstreamId& engine, const ModelRef& target,
                   int64_t version, bool insists);
  // A request begins (+1) or ends (-1) to wait for the adapter there. When the
  // last one ends the owner is told.
  void UpdateWaitCount(const UpstreamId& engine, const ModelRef& target,
                       int change);
  // An engine said that it does not hold the adapter.
  void ReportMissing(const UpstreamId& engine, const ModelRef& target);
  // A request began (+1) or ended (-1) on an adapter.
  void UpdateUseCount(const UpstreamId& engine, const ModelRef& target,
                      int change);

 private:
  using Place = std::pair<UpstreamId, ModelRef>;

  // Empty: the engine has no owner.
  MachineId OwnerOf(const UpstreamId& engine) const;
  void TellChanged();
  void TellAgain();
  void TellOne(const Place& place, int running);

  const MachineId self_;
  Ownership* const ownership_;
  OrderService* const orders_;
  PeerMessenger* const peers_;
  const StatusCallback on_place_;
  std::map<Place, int> running_;  // No zeros, here and in `waiting_`.
  std::map<Place, int> waiting_;
  std::set<Place> changed_;  // Not told yet.
  Timer changed_timer_;
  Timer again_timer_;
};

}  // namespace bilberrypitch
