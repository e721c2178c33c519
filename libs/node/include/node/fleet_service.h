// This instance's place in the fleet: the platform's list, heartbeats, its
// registration in the store, and its own pauses.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/pause_detector.h"
#include "membership/registration.h"
#include "node/node_context.h"

namespace bilberrypitch {

namespace schema {
class Envelope;
class Heartbeat;
}  // namespace schema

struct StoreReadResult;

// An upstream that the platform's list shows as leaving.
using LeavingUpstreams = std::set<UpstreamId>;

// Thread-safe.
class FleetService {
 public:
  explicit FleetService(const NodeContext& context);

  // `generation`: of the document in force; `store_confirmed`: when a read of
  // the head was begun that succeeded.
  void Tick(Millis now, uint64_t generation, Millis store_confirmed);
  void OnHeartbeat(const schema::Envelope& envelope, Millis now);

  // Whether keys, documents and rights may be used: this process was not
  // paused, or was confirmed by the store or a peer since.
  bool Trusted() const;
  // Whether the registration is confirmed.
  bool Confirmed(Millis now) const;
  bool registered() const;
  void SetLeaving();
  // Removes the own registration; at a planned stop, when nothing runs.
  void Deregister();

  std::vector<Member> Peers() const;
  std::vector<Member> LivePeers(Millis now) const;
  bool IsLive(const BootId& boot, Millis now) const;
  // Empty when it was never heard.
  std::string AddressOf(const BootId& boot) const;
  BootId PreferredLeader(Millis now) const;
  // Whether this is one of the first `n` of its zone's live members.
  bool AmongFirst(size_t n, Millis now) const;
  // All registered boots of the fleet; false before the first read.
  bool RegisteredBoots(std::set<BootId>* boots) const;
  // Registered boots of the own zone, sorted.
  std::vector<BootId> ZoneBoots() const;
  LeavingUpstreams leaving_upstreams() const;
  uint64_t pauses() const;

 private:
  void SendHeartbeats(Millis now, uint64_t generation, bool store_reachable);
  void ReadList(Millis now);
  void ReadRegistrations(Millis now);
  void OnRegistrations(const StoreReadResult& result, Millis begun);
  void Apply(const RegistrationAction& action);
  HeartbeatFacts SelfFacts(uint64_t generation, bool store_reachable) const;

  const NodeContext context_;
  const std::string peer_address_;
  mutable std::mutex lock_;  // Guards all below but the atomics.
  MemberTable members_;
  RegistrationKeeper keeper_;
  PauseDetector pauses_;
  std::map<BootId, Millis> newest_sent_;  // Peers' clocks, to give back.
  std::set<BootId> registered_boots_;
  bool registrations_read_ = false;
  LeavingUpstreams leaving_upstreams_;
  bool leaving_ = false;
  uint64_t generation_ = 0;  // Of the document in force, as of the last tick.
  Millis paused_at_{-1};
  Millis confirmed_at_{-1};  // By store or peer.
  Millis next_heartbeat_;
  Millis next_list_;
  Millis next_registrations_;
  std::atomic<bool> reading_registrations_ = false;
  std::atomic<bool> reading_list_ = false;
};

}  // namespace bilberrypitch
