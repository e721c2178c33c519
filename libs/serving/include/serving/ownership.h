// Decides which machine owns each resource. A resource is an engine, whose
// owner alone may send it orders, or the rate account of a workspace, whose
// owner hands out its tokens.
//
// Ownership is a key in the store that is bound to the owner's lease, so it
// ends when the owner stops renewing the lease. The fencing token follows from
// the revision of the key's last write; it rises with each owner. A new owner
// waits for
// the takeover delay before it acts, so that two machines never act on one
// resource within that time. It need not wait if this instance saw the resource
// appear and has since seen no owner and missed no change, or if the key still
// named an earlier process or lease of the same machine and stated that its
// takeover delay was over.
//
// A store that comes back from an older copy has lost leases and claims. All
// ownership ends with its era. An owner whose lease was valid until then claims
// anew at once, and goes on without the takeover delay: no other machine can
// have acted since. Any other owner waits until the lease of an owner that
// hasn't heard of the new era has run out, and then for the takeover delay.
//
// If there is no owner, the members claim the resource in the order of a
// rendezvous hash, members of the resource's zone first, each one some time
// after the one before it.
//
// No I/O: the calling code reports what it reads from the store and writes the
// claims.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// Key of a resource: "engine/ID" or "rate/WORKSPACE".
using ResourceId = Id<struct ResourceTag>;

ResourceId EngineResource(const UpstreamId& engine);
ResourceId RateResource(const WorkspaceId& workspace);
// Return the engine or the workspace of a resource; empty if the resource is of
// the other kind.
UpstreamId EngineOf(const ResourceId& resource);
WorkspaceId WorkspaceOf(const ResourceId& resource);

// The current process of a machine, as registered in the store.
struct ClusterMember {
  MachineId machine;
  BootId boot;
  ZoneId zone;
  std::string address;   // For datagrams and state transfer.
  double cpu_share = 0;  // In cores; 0: not stated.
};

// The value of an owner key, with the metadata of the key.
struct OwnerRecord {
  MachineId machine;
  BootId boot;
  StoreRevision revision;  // Of the key: fencing token, condition of claims.
  int64_t lease = 0;       // Lease to which the key is bound.
  // The takeover delay was over, or not needed, when the record was written.
  bool takeover_complete = false;
};

// A write of the owner key of `resource`, on condition that the key is still at
// `revision` (the default: that it does not exist).
struct OwnershipClaim {
  ResourceId resource;
  StoreRevision revision;
  bool takeover_complete = false;  // Value to write into the record.
};

// State machine of one process. Not thread-safe.
class Ownership {
 public:
  static constexpr StoreRevision kLatestRevision{
      std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max()};

  // `lease_ttl`: how long an owner may act after its last renewal at the most.
  Ownership(ClusterMember self, Millis takeover_delay, Millis lease_ttl,
            Millis now);

  // The store is in this era. `lease_valid_until`: end of the current lease by
  // its last renewal in the era before. Returns whether the era is new. The
  // calling code then has to ask for a new lease.
  bool OnEra(int64_t era, Millis lease_valid_until, Millis now);
  int64_t era() const { return era_; }
  // Sets the current lease of this process; 0: none. A resource that was
  // claimed under another lease is no longer owned, even if the last known
  // state of its key names this process.
  void OnLease(int64_t lease);
  void OnMember(const ClusterMember& member);
  void OnMemberRemoved(const MachineId& machine);
  // A resource exists. `zone`: whose members are preferred as owners; empty:
  // any.
  void OnResource(const ResourceId& resource, const ZoneId& zone, Millis now);
  void OnResourceRemoved(const ResourceId& resource);
  // The owner key was written or deleted.
  void OnOwner(const ResourceId& resource, const OwnerRecord& owner,
               Millis now);
  // The owner key does not exist at store revision `revision`. Ignored if a
  // later write of the key is known.
  void OnOwnerRemoved(const ResourceId& resource, Millis now,
                      StoreRevision revision = kLatestRevision);
  // A full read of the store begins, either the first one or because the watch
  // lost its history. Owners may have changed without being seen.
  void OnFullReadStarted();
  // The full read is complete.
  void OnFullReadCompleted(Millis now);

  // Returns the claims to write now. A claim is returned again after some time
  // if the key has not changed by then.
  std::vector<OwnershipClaim> TakeClaims(Millis now);
  // Returns when TakeClaims has to be called again; zero: not before the next
  // event.
  Millis NextWakeup(Millis now) const;

  // Returns the fencing token if this process owns the resource and may act on
  // it now, otherwise 0. The calling code also has to check that its lease is
  // still valid.
  int64_t FencingToken(const ResourceId& resource, Millis now) const;
  // Whether this process owns the resource, including the takeover delay.
  bool OwnedBySelf(const ResourceId& resource) const;
  // Returns the end of the takeover delay; zero if another process or nobody
  // owns the resource.
  Millis ActiveFrom(const ResourceId& resource) const;
  // Returns null if there is no known owner.
  const OwnerRecord* OwnerOf(const ResourceId& resource) const;
  const ClusterMember* FindMember(const MachineId& machine) const;
  const std::map<MachineId, ClusterMember>& members() const { return members_; }
  std::vector<ResourceId> Resources() const;

 private:
  struct ResourceState {
    ZoneId zone;
    // False: removed, or only its owner key has been seen.
    bool exists = false;
    std::optional<OwnerRecord> owner;
    Millis unowned_since;
    // An owner may have acted recently, so the takeover delay is needed.
    bool had_owner = true;
    Millis active_from;  // End of this process's takeover delay.
    Millis claimed_at;
    // The state of the key is known in this era: `owner`, or its absence.
    int64_t known_era = 0;
    // The owner record was seen to be written in the era of the store, so it is
    // none of a copy.
    bool written_in_era = true;
    // This process was the owner when the era began. Until this time, no other
    // machine can have acted since.
    Millis continues_until;
  };

  // Whether `owner` is this process, by its current lease.
  bool IsOwnRecord(const OwnerRecord& owner) const;
  // When this process claims the resource, which has no owner.
  Millis ClaimableFrom(const ResourceId& resource, const ResourceState& state,
                       Millis now) const;
  // The condition of a claim.
  StoreRevision KnownRevision(const ResourceState& state) const;
  // The end of the takeover delay that begins now.
  Millis TakeoverEnd(const ResourceState& state, Millis now) const;
  // This process claims a key that it or an earlier process of this machine
  // had, and that is not bound to the current lease.
  bool IsReclaim(const ResourceState& state) const;

  // Whether a claim made now has to wait for the takeover delay.
  bool NeedsTakeoverDelay(const ResourceState& state) const;
  void ForgetRemovedResources(Millis now);
  // Number of members that are preferred to this one as owners.
  size_t RankOf(const ResourceId& resource, const ResourceState& state) const;

  const ClusterMember self_;
  const Millis takeover_delay_;
  const Millis lease_ttl_;
  const Millis started_;
  int64_t lease_ = 0;
  int64_t era_ = 0;
  // An owner of an earlier era may act until then.
  Millis earlier_owners_until_;
  bool synced_ = false;
  bool in_full_read_ = false;
  Millis synced_at_;
  std::map<MachineId, ClusterMember> members_;  // Including this one.
  std::map<ResourceId, ResourceState> resources_;
};

}  // namespace bilberrypitch
