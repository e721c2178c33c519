// Who is in the fleet, as this instance sees it: the platform's lagging list
// and the peers' own heartbeats, put together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

enum class ListedState : uint8_t { kLive, kLeaving };

// One line of the platform's list.
struct ListedInstance {
  InstanceId instance;
  ZoneId zone;
  std::string peer_address;  // IP:port.
  ListedState state = ListedState::kLive;
};

struct Member {
  InstanceId instance;
  ZoneId zone;
  BootId boot;  // Empty until a heartbeat came.
  std::string peer_address;
  uint64_t generation = 0;
  bool listed = false;
  bool leaving = false;
  bool store_reachable = false;
  Millis last_heard;
  bool heard = false;
};

struct HeartbeatFacts {
  InstanceId instance;
  ZoneId zone;
  BootId boot;
  std::string peer_address;
  uint64_t generation = 0;
  bool leaving = false;
  bool store_reachable = false;
};

// Not thread-safe; its owner holds the lock.
class MemberTable {
 public:
  // A member counts as live while it was heard within `timeout`.
  MemberTable(HeartbeatFacts self, Millis timeout);

  void OnList(const std::vector<ListedInstance>& listed, Millis now);
  void OnHeartbeat(const HeartbeatFacts& facts, Millis now);
  void SetSelf(const HeartbeatFacts& self) { self_ = self; }

  // Peers to send to: listed or heard, without this instance.
  std::vector<Member> Peers() const;
  // Peers heard lately.
  std::vector<Member> LivePeers(Millis now) const;
  const Member* FindBoot(const BootId& boot) const;
  bool IsLive(const BootId& boot, Millis now) const;
  // Empty when the instance is not in the list now.
  bool IsListed(const InstanceId& instance) const;
  // When the list last held the instance; zero when it never did.
  Millis LastListed(const InstanceId& instance) const;
  // Who should lead the zone: the rendezvous pick among its live members that
  // aren't leaving. Empty when none is.
  BootId PreferredLeader(const ZoneId& zone, Millis now) const;
  // Zones with a live member, this instance's own always.
  std::vector<ZoneId> ReachableZones(Millis now) const;

 private:
  bool Live(const Member& member, Millis now) const;

  HeartbeatFacts self_;
  const Millis timeout_;
  std::map<InstanceId, Member> members_;  // Without this instance.
  std::map<InstanceId, Millis> last_listed_;
};

}  // namespace bilberrypitch
