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
class PeerLink;
enum class AdapterPlace : uint8_t;
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
  using OnPlace =
      std::function<void(const UpstreamId& engine, const ModelRef& target,
                         int64_t version, AdapterPlace place)>;

  // Tells what runs every now and then from the start on.
  AdapterService(EventLoop* loop, MachineId self, Ownership* ownership,
                 OrderService* orders, PeerLink* peers, OnPlace on_place);

  // As the owner: tells a machine, this one too.
  void Tell(const MachineId& machine, const UpstreamId& engine,
            const ModelRef& target, int64_t version, AdapterPlace place);
  // What other instances say.
  void OnWant(const MachineId& from, const schema::WantAdapter& want);
  void OnUse(const MachineId& from, const schema::AdapterUse& use);
  void OnMissing(const schema::AdapterMissing& missing);
  void OnState(const schema::AdapterState& state);

  // Requests wait for an adapter in that version at least; `insists`: they get
  // the next place.
  void Want(const UpstreamId& engine, const ModelRef& target, int64_t version,
            bool insists);
  // A request begins (+1) or ends (-1) to wait for the adapter there. When the
  // last one ends the owner is told.
  void CountWait(const UpstreamId& engine, const ModelRef& target, int change);
  // An engine said that it does not hold the adapter.
  void Missing(const UpstreamId& engine, const ModelRef& target);
  // A request began (+1) or ended (-1) on an adapter.
  void CountUse(const UpstreamId& engine, const ModelRef& target, int change);

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
  PeerLink* const peers_;
  const OnPlace on_place_;
  std::map<Place, int> running_;  // No zeros, here and in `waiting_`.
  std::map<Place, int> waiting_;
  std::set<Place> changed_;  // Not told yet.
  Timer changed_timer_;
  Timer again_timer_;
};

}  // namespace bilberrypitch
