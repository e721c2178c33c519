// This instance's place among the others: its lease, its record in the store,
// the other members, and the duties that are divided between them.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "gateway/lease_manager.h"
#include "serving/ownership.h"
#include "serving/store_item.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class PeerMessenger;

// On the loop's thread only.
class Membership {
 public:
  struct Hooks {
    // The owner of a duty, or this instance's right to it, has changed.
    std::function<void(const ResourceId&)> on_ownership_changed;
    std::function<void()> on_members_changed;
    std::function<void(const MachineId&)> on_member_removed;
  };

  Membership(EventLoop* loop, ClusterStore* store, const ClusterMember& self,
             Millis lease_time, Millis turn, PeerMessenger* peers, Hooks hooks);

  void Start();
  // Takes up no duty any more.
  void StopClaiming();
  // A duty exists; the instances of `zone` come first, if one is named.
  void AddResource(const ResourceId& duty, const ZoneId& zone);
  void RemoveResource(const ResourceId& duty);

  // The store's word about one of the program's own keys.
  void OnStoreItem(const StoreItem& item);
  // The store is read whole: its beginning, and the keys that were found.
  void OnFullReadStarted();
  void OnFullReadCompleted(const std::set<std::string>& keys);

  Ownership* ownership() { return &ownership_; }
  LeaseManager* lease() { return &lease_; }

 private:
  LeaseManager::Hooks LeaseHooks();
  void Register();
  void OnMember(const MachineId& machine, const StoreItem& item);
  void OnOwner(const ResourceId& duty, const StoreItem& item);
  void Schedule();
  void Write(const OwnershipClaim& claim);

  ClusterStore* const store_;
  const ClusterMember self_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  Ownership ownership_;
  LeaseManager lease_;
  bool claiming_ = true;
  Timer claim_timer_;
  Timer register_timer_;
};

}  // namespace bilberrypitch
