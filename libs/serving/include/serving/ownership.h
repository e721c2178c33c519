// Which machine has which duty: to order an engine, or to keep the account of a
// workspace's rate.
//
// A duty is a key in the store that lives with its machine's lease. The
// revision of the key's last write is the fencing token: it rises with each
// owner. A new owner waits out the turn of the one before, unless the duty
// came up under this instance's eyes without an owner, or its key stood as this
// same machine's, settled, until then. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

using ResourceId = Id<struct DutyTag>;

ResourceId EngineResource(const UpstreamId& engine);
ResourceId RateResource(const WorkspaceId& workspace);
// The engine or workspace of a duty; empty: it is of the other kind.
UpstreamId EngineOf(const ResourceId& duty);
WorkspaceId WorkspaceOf(const ResourceId& duty);

// One process of one machine, as registered in the store.
struct ClusterMember {
  MachineId machine;
  BootId boot;
  ZoneId zone;
  std::string address;  // For datagrams and state.
};

struct OwnerRecord {
  MachineId machine;
  BootId boot;
  int64_t revision = 0;  // Of the key: fencing token and condition.
  int64_t lease = 0;     // With which the key lives.
  bool takeover_complete =
      false;  // The turn of the owner before was over when written.
};

// A write of the owner's key for `resource` under the condition that it stands
// at `revision` (0: is not there).
struct OwnershipClaim {
  ResourceId resource;
  int64_t revision = 0;
  bool takeover_complete = false;  // To write into the record.
};

class Ownership {
 public:
  Ownership(ClusterMember self, Millis turn, Millis now);

  // This process's lease; 0: none. A duty that was taken with another lease is
  // not held any more, whatever the last news of its key is.
  void OnLease(int64_t lease);
  void OnMember(const ClusterMember& member);
  void OnMemberRemoved(const MachineId& machine);
  // `zone`: whose instances come first; empty: any.
  void OnResource(const ResourceId& duty, const ZoneId& zone, Millis now);
  void OnResourceRemoved(const ResourceId& duty);
  void OnOwner(const ResourceId& duty, const OwnerRecord& owner, Millis now);
  void OnOwnerRemoved(const ResourceId& duty, Millis now);
  // The store is read whole, the first time or because its history was dropped:
  // owners may have come and gone unseen.
  void OnFullReadStarted();
  // The whole reading is complete.
  void OnFullReadCompleted(Millis now);

  // Claims to write now; each is given again after a while if it stays open.
  std::vector<OwnershipClaim> TakeClaims(Millis now);
  // When TakeClaims should be asked again; zero: not before the next event.
  Millis NextWakeup(Millis now) const;

  // The fencing token while this process may do the duty; 0 else. The
  // caller also checks that its lease still runs.
  int64_t FencingToken(const ResourceId& duty, Millis now) const;
  bool OwnedBySelf(const ResourceId& duty) const;
  // When the right begins that this process holds already; zero: none.
  Millis ActiveFrom(const ResourceId& duty) const;
  const OwnerRecord* OwnerOf(const ResourceId& duty) const;
  const ClusterMember* FindMember(const MachineId& machine) const;
  const std::map<MachineId, ClusterMember>& members() const { return members_; }
  std::vector<ResourceId> Resources() const;

 private:
  struct Duty {
    ZoneId zone;
    bool listed = false;
    std::optional<OwnerRecord> owner;
    Millis unowned_since;
    // Whether some owner may have acted lately: its turn is waited out.
    bool had_owner = true;
    Millis act_from;  // Of this process's right.
    Millis claimed_at;
  };

  bool Waits(const Duty& it) const;
  size_t RankOf(const ResourceId& duty, const Duty& it) const;

  const ClusterMember self_;
  const Millis turn_;
  const Millis started_;
  int64_t lease_ = 0;
  bool synced_ = false;
  bool relisting_ = false;
  Millis synced_at_;
  std::map<MachineId, ClusterMember> members_;  // With this one.
  std::map<ResourceId, Duty> duties_;
};

}  // namespace bilberrypitch
