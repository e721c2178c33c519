// This instance's place among the others: its lease, its record in the store,
// the other members, and the duties that are divided between them.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "gateway/lease_keeper.h"
#include "serving/ownership.h"
#include "serving/store_item.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class PeerLink;

// On the loop's thread only.
class Membership {
 public:
  struct Hooks {
    // The owner of a duty, or this instance's right to it, has changed.
    std::function<void(const ResourceId&)> on_duty;
    std::function<void()> on_members;
    std::function<void(const MachineId&)> on_gone;
  };

  Membership(EventLoop* loop, ClusterStore* store, const ClusterMember& self,
             Millis lease_time, Millis turn, PeerLink* peers, Hooks hooks);

  void Start();
  // Takes up no duty any more.
  void StopClaiming();
  // A duty exists; the instances of `zone` come first, if one is named.
  void AddDuty(const ResourceId& duty, const ZoneId& zone);
  void RemoveDuty(const ResourceId& duty);

  // The store's word about one of the program's own keys.
  void OnItem(const StoreItem& item);
  // The store is read whole: its beginning, and the keys that were found.
  void OnRelisting();
  void OnListed(const std::set<std::string>& keys);

  Ownership* ownership() { return &ownership_; }
  LeaseKeeper* lease() { return &lease_; }

 private:
  LeaseKeeper::Hooks LeaseHooks();
  void Register();
  void OnMember(const MachineId& machine, const StoreItem& item);
  void OnOwner(const ResourceId& duty, const StoreItem& item);
  void Schedule();
  void Write(const OwnershipClaim& claim);

  ClusterStore* const store_;
  const ClusterMember self_;
  PeerLink* const peers_;
  const Hooks hooks_;
  Ownership ownership_;
  LeaseKeeper lease_;
  bool claiming_ = true;
  Timer claim_timer_;
  Timer register_timer_;
};

}  // namespace bilberrypitch
