// The fleet as one instance sees it.
#include "membership/member_table.h"

#include <algorithm>
#include <set>

#include "membership/rendezvous.h"

namespace bilberrypitch {
namespace {

// A member that is neither listed nor heard for so long is forgotten.
constexpr Millis kForgetAfter{10 * 60 * 1000};

}  // namespace

MemberTable::MemberTable(HeartbeatFacts self, Millis timeout)
    : self_(std::move(self)), timeout_(timeout) {}

void MemberTable::OnList(const std::vector<ListedInstance>& listed,
                         Millis now) {
  for (auto& [id, member] : members_) {
    member.listed = false;
  }
  for (const ListedInstance& it : listed) {
    last_listed_[it.instance] = now;
    if (it.instance == self_.instance) {
      continue;
    }
    Member& member = members_[it.instance];
    member.instance = it.instance;
    member.zone = it.zone;
    member.listed = true;
    if (!Live(member, now)) {
      member.peer_address = it.peer_address;  // A heartbeat knows better.
    }
    if (it.state == ListedState::kLeaving) {
      member.leaving = true;
    }
  }
  std::erase_if(members_, [&](const auto& it) {
    return !it.second.listed && now - it.second.last_heard > kForgetAfter;
  });
}

void MemberTable::OnHeartbeat(const HeartbeatFacts& facts, Millis now) {
  if (facts.instance == self_.instance) {
    return;
  }
  Member& member = members_[facts.instance];
  if (member.boot != facts.boot) {
    member.leaving = false;
  }
  member.instance = facts.instance;
  member.zone = facts.zone;
  member.boot = facts.boot;
  member.peer_address = facts.peer_address;
  member.generation = facts.generation;
  member.leaving = member.leaving || facts.leaving;
  member.store_reachable = facts.store_reachable;
  member.last_heard = now;
  member.heard = true;
}

bool MemberTable::Live(const Member& member, Millis now) const {
  return member.heard && now - member.last_heard <= timeout_;
}

std::vector<Member> MemberTable::Peers() const {
  std::vector<Member> peers;
  for (const auto& [id, member] : members_) {
    if (!member.peer_address.empty()) {
      peers.push_back(member);
    }
  }
  return peers;
}

std::vector<Member> MemberTable::LivePeers(Millis now) const {
  std::vector<Member> peers;
  for (const auto& [id, member] : members_) {
    if (Live(member, now)) {
      peers.push_back(member);
    }
  }
  return peers;
}

const Member* MemberTable::FindBoot(const BootId& boot) const {
  for (const auto& [id, member] : members_) {
    if (member.boot == boot) {
      return &member;
    }
  }
  return nullptr;
}

bool MemberTable::IsLive(const BootId& boot, Millis now) const {
  if (boot == self_.boot) {
    return true;
  }
  const Member* member = FindBoot(boot);
  return member != nullptr && Live(*member, now);
}

bool MemberTable::IsListed(const InstanceId& instance) const {
  auto it = members_.find(instance);
  return it != members_.end() && it->second.listed;
}

Millis MemberTable::LastListed(const InstanceId& instance) const {
  auto it = last_listed_.find(instance);
  return it == last_listed_.end() ? Millis() : it->second;
}

BootId MemberTable::PreferredLeader(const ZoneId& zone, Millis now) const {
  std::vector<std::string> candidates;
  if (self_.zone == zone && !self_.leaving) {
    candidates.push_back(self_.boot.str());
  }
  for (const auto& [id, member] : members_) {
    if (member.zone == zone && !member.leaving && Live(member, now)) {
      candidates.push_back(member.boot.str());
    }
  }
  if (candidates.empty()) {
    return {};
  }
  return BootId(candidates[PickByRendezvous(zone.str(), candidates)]);
}

std::vector<ZoneId> MemberTable::ReachableZones(Millis now) const {
  std::set<ZoneId> zones = {self_.zone};
  for (const auto& [id, member] : members_) {
    if (Live(member, now)) {
      zones.insert(member.zone);
    }
  }
  return {zones.begin(), zones.end()};
}

}  // namespace bilberrypitch
