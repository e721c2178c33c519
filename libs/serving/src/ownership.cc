// Owners of duties.
#include "serving/ownership.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// After the first reading of the store, so that the other members of a common
// start are known before duties are divided.
constexpr Millis kSettle{1500};
// The next in rank claims when those before it did not.
constexpr Millis kRankStep{900};
constexpr Millis kClaimAgain{1500};
// Beyond the turn, for clocks and the order's way.
constexpr Millis kTurnMargin{250};

constexpr std::string_view kEnginePrefix = "engine/";
constexpr std::string_view kRatePrefix = "rate/";

std::string After(const ResourceId& duty, std::string_view prefix) {
  return duty.str().starts_with(prefix) ? duty.str().substr(prefix.size()) : "";
}

}  // namespace

ResourceId EngineResource(const UpstreamId& engine) {
  return ResourceId(std::string(kEnginePrefix) + engine.str());
}

ResourceId RateResource(const WorkspaceId& workspace) {
  return ResourceId(std::string(kRatePrefix) + workspace.str());
}

UpstreamId EngineOf(const ResourceId& duty) {
  return UpstreamId(After(duty, kEnginePrefix));
}

WorkspaceId WorkspaceOf(const ResourceId& duty) {
  return WorkspaceId(After(duty, kRatePrefix));
}

Ownership::Ownership(ClusterMember self, Millis turn, Millis now)
    : self_(std::move(self)), turn_(turn), started_(now) {
  members_[self_.machine] = self_;
}

void Ownership::OnLease(int64_t lease) { lease_ = lease; }

void Ownership::OnMember(const ClusterMember& member) {
  if (member.machine != self_.machine) {
    members_[member.machine] = member;
  }
}

void Ownership::OnMemberRemoved(const MachineId& machine) {
  if (machine != self_.machine) {
    members_.erase(machine);
  }
}

void Ownership::OnResource(const ResourceId& duty, const ZoneId& zone,
                           Millis now) {
  Duty& it = duties_[duty];
  it.zone = zone;
  if (it.listed) {
    return;
  }
  it.listed = true;
  if (!it.owner) {
    it.unowned_since = now;
    // Seen from its beginning: nobody has done it yet.
    it.had_owner = !synced_ || relisting_;
  }
}

void Ownership::OnResourceRemoved(const ResourceId& duty) {
  duties_.erase(duty);
}

void Ownership::OnOwner(const ResourceId& duty, const OwnerRecord& owner,
                        Millis now) {
  Duty& it = duties_[duty];
  if (it.owner && it.owner->revision >= owner.revision) {
    return;
  }
  bool is_self = owner.machine == self_.machine && owner.boot == self_.boot;
  bool stays = is_self && it.owner && it.owner->boot == self_.boot &&
               it.owner->lease == owner.lease;
  if (is_self && !stays) {
    bool waits = Waits(it);
    it.act_from = waits ? now + turn_ + kTurnMargin : now;
  }
  it.owner = owner;
  it.had_owner = true;
}

// Whether a right that is taken now begins only after another's turn.
bool Ownership::Waits(const Duty& it) const {
  // The claim is conditional on the key as it stands: if that is this
  // machine's own, no other can have had the duty in between.
  bool follows_self = it.owner && it.owner->machine == self_.machine;
  return it.had_owner && !(follows_self && it.owner->takeover_complete);
}

void Ownership::OnOwnerRemoved(const ResourceId& duty, Millis now) {
  auto it = duties_.find(duty);
  if (it != duties_.end() && it->second.owner) {
    it->second.owner.reset();
    it->second.unowned_since = now;
  }
}

void Ownership::OnFullReadStarted() {
  relisting_ = true;
  for (auto& [duty, it] : duties_) {
    it.had_owner = true;
  }
}

void Ownership::OnFullReadCompleted(Millis now) {
  relisting_ = false;
  if (!synced_) {
    synced_ = true;
    synced_at_ = now;
  }
}

size_t Ownership::RankOf(const ResourceId& duty, const Duty& it) const {
  auto weight = [&duty, &it](const ClusterMember& member) {
    bool same_zone = member.zone == it.zone;
    return std::make_pair(same_zone,
                          StableHash(duty.str(), member.machine.str()));
  };
  auto own = weight(self_);
  size_t rank = 0;
  for (const auto& [machine, member] : members_) {
    rank += weight(member) > own ? 1 : 0;
  }
  return rank;
}

std::vector<OwnershipClaim> Ownership::TakeClaims(Millis now) {
  std::vector<OwnershipClaim> claims;
  if (!synced_) {
    return claims;
  }
  for (auto& [duty, it] : duties_) {
    if (!it.listed ||
        (it.claimed_at != Millis(0) && now < it.claimed_at + kClaimAgain)) {
      continue;
    }
    if (it.owner) {
      bool own_machine = it.owner->machine == self_.machine;
      bool own = OwnedBySelf(duty);
      bool settles = own && !it.owner->takeover_complete && now >= it.act_from;
      if (settles || (own_machine && !own)) {
        it.claimed_at = now;
        claims.push_back({duty, it.owner->revision, settles || !Waits(it)});
      }
      continue;
    }
    Millis from = std::max(it.unowned_since, synced_at_ + kSettle);
    Millis rank = kRankStep * static_cast<int64_t>(RankOf(duty, it));
    if (now >= from + rank) {
      it.claimed_at = now;
      claims.push_back({duty, 0, !Waits(it)});
    }
  }
  return claims;
}

Millis Ownership::NextWakeup(Millis now) const {
  Millis next;
  for (const auto& [duty, it] : duties_) {
    if (!synced_ || !it.listed) {
      continue;
    }
    Millis due;
    if (it.owner) {
      bool left_behind =
          it.owner->machine == self_.machine && !OwnedBySelf(duty);
      if (left_behind) {
        due = it.claimed_at + kClaimAgain;
      } else if (OwnedBySelf(duty) &&
                 (it.act_from > now || !it.owner->takeover_complete)) {
        due = std::max(it.act_from, it.claimed_at + kClaimAgain);
      } else {
        continue;
      }
    } else {
      due = std::max(it.unowned_since, synced_at_ + kSettle) +
            kRankStep * static_cast<int64_t>(RankOf(duty, it));
      if (it.claimed_at != Millis(0)) {
        due = std::max(due, it.claimed_at + kClaimAgain);
      }
    }
    due = std::max(due, now + Millis(1));
    if (next == Millis(0) || due < next) {
      next = due;
    }
  }
  return next;
}

bool Ownership::OwnedBySelf(const ResourceId& duty) const {
  const OwnerRecord* owner = OwnerOf(duty);
  return owner != nullptr && owner->machine == self_.machine &&
         owner->boot == self_.boot && owner->lease == lease_ && lease_ != 0;
}

Millis Ownership::ActiveFrom(const ResourceId& duty) const {
  return OwnedBySelf(duty) ? duties_.at(duty).act_from : Millis(0);
}

int64_t Ownership::FencingToken(const ResourceId& duty, Millis now) const {
  if (!OwnedBySelf(duty) || now < duties_.at(duty).act_from) {
    return 0;
  }
  return duties_.at(duty).owner->revision;
}

const OwnerRecord* Ownership::OwnerOf(const ResourceId& duty) const {
  auto it = duties_.find(duty);
  return it != duties_.end() && it->second.owner ? &*it->second.owner : nullptr;
}

const ClusterMember* Ownership::FindMember(const MachineId& machine) const {
  auto it = members_.find(machine);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<ResourceId> Ownership::Resources() const {
  std::vector<ResourceId> listed;
  for (const auto& [duty, it] : duties_) {
    if (it.listed) {
      listed.push_back(duty);
    }
  }
  return listed;
}

}  // namespace bilberrypitch
