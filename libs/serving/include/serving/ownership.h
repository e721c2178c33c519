// Which machine may order each engine.
//
// The right is a key in the store that lives with its machine's lease. The
// revision of the key's last write is the fencing token: it rises with each
// owner. A new owner waits out the turn of the one before, unless the engine
// came up under this instance's eyes without an owner, or the owner before was
// this same machine. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// One process of one machine, as registered in the store.
struct Member {
  MachineId machine;
  BootId boot;
  ZoneId zone;
  std::string address;  // For datagrams and state.
};

struct OwnerRecord {
  MachineId machine;
  BootId boot;
  int64_t revision = 0;  // Of the key: fencing token and condition.
};

// A write of the owner's key for `engine` under the condition that it stands at
// `revision` (0: is not there).
struct Claim {
  UpstreamId engine;
  int64_t revision = 0;
};

class Ownership {
 public:
  Ownership(Member self, Millis turn, Millis now);

  void OnMember(const Member& member);
  void OnMemberGone(const MachineId& machine);
  void OnEngine(const UpstreamId& engine, const ZoneId& zone, Millis now);
  void OnEngineGone(const UpstreamId& engine);
  void OnOwner(const UpstreamId& engine, const OwnerRecord& owner, Millis now);
  void OnOwnerGone(const UpstreamId& engine, Millis now);
  // The first whole reading of the store is complete.
  void OnSynced(Millis now);

  // Claims to write now; each is given again after a while if it stays open.
  std::vector<Claim> Claims(Millis now);
  // When Claims should be asked again; zero: not before the next event.
  Millis NextDue(Millis now) const;

  // The fencing token while this process may order the engine; 0 else. The
  // caller also checks that its lease still runs.
  int64_t Fence(const UpstreamId& engine, Millis now) const;
  bool OwnedBySelf(const UpstreamId& engine) const;
  // When the right begins that this process holds already; zero: none.
  Millis MayOrderFrom(const UpstreamId& engine) const;
  const OwnerRecord* OwnerOf(const UpstreamId& engine) const;
  const Member* FindMember(const MachineId& machine) const;
  const std::map<MachineId, Member>& members() const { return members_; }
  std::vector<UpstreamId> Engines() const;

 private:
  struct Engine {
    ZoneId zone;
    bool listed = false;
    std::optional<OwnerRecord> owner;
    Millis unowned_since;
    // Whether some owner may have ordered lately: its turn is waited out.
    bool had_owner = true;
    bool last_owner_self = false;  // The last one seen was this machine.
    Millis order_from;             // Of this process's right.
    Millis claimed_at;
  };

  size_t RankOf(const UpstreamId& engine, const Engine& it) const;

  const Member self_;
  const Millis turn_;
  const Millis started_;
  bool synced_ = false;
  Millis synced_at_;
  std::map<MachineId, Member> members_;  // With this one.
  std::map<UpstreamId, Engine> engines_;
};

}  // namespace bilberrypitch
