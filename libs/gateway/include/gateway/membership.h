// The membership of this instance in the cluster: its lease, its record in the
// store, the other members, and the ownership of the resources (engines and
// rate accounts) that are divided among the members.
#pragma once

#include <functional>
#include <memory>
#include <optional>
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

// Registers this instance and claims resources. The pointers passed to the
// constructor must outlive it. Must be used on the event loop's thread only.
class Membership {
 public:
  struct Hooks {
    // The owner of a resource, or whether this instance may act as its owner,
    // has changed.
    std::function<void(const ResourceId&)> on_ownership_changed;
    std::function<void()> on_members_changed;
    // Another member is new, or its record was written again.
    std::function<void(const ClusterMember&)> on_member_set;
    // The process of another member has ended.
    std::function<void(const MachineId&)> on_member_removed;
  };

  Membership(EventLoop* loop, ClusterStore* store, const ClusterMember& self,
             Millis lease_ttl, Millis takeover_delay, PeerMessenger* peers,
             Hooks hooks);

  void Start();
  // Makes this instance claim no further resources.
  void StopClaiming();
  // Adds a resource to be owned. Instances of `zone` are preferred as its
  // owner; an empty zone means no preference.
  void AddResource(const ResourceId& resource, const ZoneId& zone);
  void RemoveResource(const ResourceId& resource);

  // A response of the store states that it is in this era; none: it states
  // nothing. A newer era ends the lease and all ownership.
  void OnStoreEra(std::optional<int64_t> era);
  // A record that the instances themselves keep in the store was written or
  // removed.
  void OnStoreItem(const StoreItem& item);
  // Start and end of a full read of the store. `keys` are all keys that were
  // found at `revision` or later.
  void OnFullReadStarted();
  void OnFullReadCompleted(const std::set<std::string>& keys,
                           StoreRevision revision);

  Ownership* ownership() { return &ownership_; }
  LeaseManager* lease_manager() { return &lease_manager_; }

 private:
  LeaseManager::Hooks LeaseHooks();
  void Register();
  void OnMember(const MachineId& machine, const StoreItem& item);
  void RemoveMissingMembers();
  void OnOwner(const ResourceId& resource, const StoreItem& item);
  // Writes the claims that are due and sets the timer for the next ones.
  // Calls ProcessClaims soon, once for all changes until then.
  void ScheduleClaims();
  void ProcessClaims();
  void WriteClaim(const OwnershipClaim& claim);

  ClusterStore* const store_;
  const ClusterMember self_;
  const Millis lease_ttl_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  Ownership ownership_;
  LeaseManager lease_manager_;
  bool claiming_ = true;
  // Members whose records the store has lost with its era. They are expected to
  // register again until `missing_until_`.
  std::set<MachineId> missing_members_;
  Millis missing_until_;
  Timer claim_timer_;
  bool claims_scheduled_ = false;
  Timer register_timer_;
  Timer missing_timer_;
};

}  // namespace bilberrypitch
