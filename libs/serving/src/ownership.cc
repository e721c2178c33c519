// Tracks members, resources and their owners, and decides when to claim.
#include "serving/ownership.h"

#include <algorithm>

#include "base/hash.h"
#include "serving/fencing_token.h"

namespace bilberrypitch {
namespace {

// Delay after the first full read of the store. When all members start
// together, they are known to each other before the resources are divided.
constexpr Millis kInitialClaimDelay{1500};
// A member claims this much later than the one before it in rank, so that it
// does so only if that one did not.
constexpr Millis kClaimDelayPerRank{900};
constexpr Millis kClaimRetryDelay{1500};
// How long a removed resource without an owner is remembered; longer than any
// takeover delay.
constexpr Millis kRemovedResourceTtl{60 * 1000};
// Added to the takeover delay, for differences of clocks and for orders that
// are still on their way.
constexpr Millis kTakeoverMargin{250};

constexpr std::string_view kEnginePrefix = "engine/";
constexpr std::string_view kRatePrefix = "rate/";

std::string StripPrefix(const ResourceId& resource, std::string_view prefix) {
  return resource.str().starts_with(prefix)
             ? resource.str().substr(prefix.size())
             : "";
}

}  // namespace

ResourceId EngineResource(const UpstreamId& engine) {
  return ResourceId(std::string(kEnginePrefix) + engine.str());
}

ResourceId RateResource(const WorkspaceId& workspace) {
  return ResourceId(std::string(kRatePrefix) + workspace.str());
}

UpstreamId EngineOf(const ResourceId& resource) {
  return UpstreamId(StripPrefix(resource, kEnginePrefix));
}

WorkspaceId WorkspaceOf(const ResourceId& resource) {
  return WorkspaceId(StripPrefix(resource, kRatePrefix));
}

Ownership::Ownership(ClusterMember self, Millis takeover_delay, Millis now)
    : self_(std::move(self)), takeover_delay_(takeover_delay), started_(now) {
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

void Ownership::OnResource(const ResourceId& resource, const ZoneId& zone,
                           Millis now) {
  auto [it, inserted] = resources_.try_emplace(resource);
  ResourceState& state = it->second;
  state.zone = zone;
  if (state.exists) {
    return;
  }
  state.exists = true;
  if (inserted) {
    // Outside a full read, this instance sees the resource appear, so nobody
    // has owned it yet.
    state.had_owner = !synced_ || in_full_read_;
  }
  if (!state.owner) {
    state.unowned_since = now;
  }
}

void Ownership::OnResourceRemoved(const ResourceId& resource) {
  auto it = resources_.find(resource);
  if (it != resources_.end()) {
    // An engine may return under the same id while its owner key still exists.
    it->second.exists = false;
  }
}

void Ownership::OnOwner(const ResourceId& resource, const OwnerRecord& owner,
                        Millis now) {
  ResourceState& state = resources_[resource];
  if (state.owner && state.owner->revision >= owner.revision) {
    return;
  }
  bool owned_by_self =
      owner.machine == self_.machine && owner.boot == self_.boot;
  bool already_owned = owned_by_self && state.owner &&
                       state.owner->boot == self_.boot &&
                       state.owner->lease == owner.lease;
  if (owned_by_self && !already_owned) {
    bool needs_delay = NeedsTakeoverDelay(state);
    state.active_from =
        needs_delay ? now + takeover_delay_ + kTakeoverMargin : now;
  }
  state.owner = owner;
  state.had_owner = true;
}

bool Ownership::NeedsTakeoverDelay(const ResourceState& state) const {
  // A claim is conditional on the revision of the key. If the key names this
  // machine, no other machine can have owned the resource in between.
  bool held_by_this_machine =
      state.owner && state.owner->machine == self_.machine;
  return state.had_owner &&
         !(held_by_this_machine && state.owner->takeover_complete);
}

void Ownership::OnOwnerRemoved(const ResourceId& resource, Millis now,
                               StoreRevision revision) {
  // Only the last change of a key may be reported, so neither the owner nor the
  // resource need have been seen before.
  auto [it, inserted] = resources_.try_emplace(resource);
  ResourceState& state = it->second;
  state.had_owner = true;
  bool owner_removed = state.owner && state.owner->revision <= revision;
  if (owner_removed) {
    state.owner.reset();
  }
  if (inserted || owner_removed) {
    state.unowned_since = now;
  }
}

void Ownership::OnFullReadStarted() {
  in_full_read_ = true;
  for (auto& [resource, state] : resources_) {
    state.had_owner = true;
  }
}

void Ownership::OnFullReadCompleted(Millis now) {
  in_full_read_ = false;
  if (!synced_) {
    synced_ = true;
    synced_at_ = now;
  }
}

size_t Ownership::RankOf(const ResourceId& resource,
                         const ResourceState& state) const {
  auto weight = [&resource, &state](const ClusterMember& member) {
    bool same_zone = member.zone == state.zone;
    return std::make_pair(same_zone,
                          StableHash(resource.str(), member.machine.str()));
  };
  auto own_weight = weight(self_);
  size_t rank = 0;
  for (const auto& [machine, member] : members_) {
    rank += weight(member) > own_weight ? 1 : 0;
  }
  return rank;
}

std::vector<OwnershipClaim> Ownership::TakeClaims(Millis now) {
  std::vector<OwnershipClaim> claims;
  if (!synced_) {
    return claims;
  }
  ForgetRemovedResources(now);
  for (auto& [resource, state] : resources_) {
    if (!state.exists || (state.claimed_at != Millis(0) &&
                          now < state.claimed_at + kClaimRetryDelay)) {
      continue;
    }
    if (state.owner) {
      bool held_by_this_machine = state.owner->machine == self_.machine;
      bool owned_by_self = OwnedBySelf(resource);
      bool completes_takeover = owned_by_self &&
                                !state.owner->takeover_complete &&
                                now >= state.active_from;
      // Records the end of the takeover delay, or claims a key that an earlier
      // process or lease of this machine left behind.
      if (completes_takeover || (held_by_this_machine && !owned_by_self)) {
        state.claimed_at = now;
        claims.push_back({resource, state.owner->revision,
                          completes_takeover || !NeedsTakeoverDelay(state)});
      }
      continue;
    }
    Millis claimable_from =
        std::max(state.unowned_since, synced_at_ + kInitialClaimDelay);
    Millis rank_delay =
        kClaimDelayPerRank * static_cast<int64_t>(RankOf(resource, state));
    if (now >= claimable_from + rank_delay) {
      state.claimed_at = now;
      claims.push_back({resource, StoreRevision(), !NeedsTakeoverDelay(state)});
    }
  }
  return claims;
}

void Ownership::ForgetRemovedResources(Millis now) {
  std::erase_if(resources_, [now](const auto& entry) {
    const ResourceState& state = entry.second;
    return !state.exists && !state.owner &&
           now - state.unowned_since > kRemovedResourceTtl;
  });
}

Millis Ownership::NextWakeup(Millis now) const {
  Millis next;
  for (const auto& [resource, state] : resources_) {
    if (!synced_ || !state.exists) {
      continue;
    }
    Millis due;
    if (state.owner) {
      bool needs_reclaim =
          state.owner->machine == self_.machine && !OwnedBySelf(resource);
      if (needs_reclaim) {
        due = state.claimed_at + kClaimRetryDelay;
      } else if (OwnedBySelf(resource) &&
                 (state.active_from > now || !state.owner->takeover_complete)) {
        due = std::max(state.active_from, state.claimed_at + kClaimRetryDelay);
      } else {
        continue;
      }
    } else {
      due = std::max(state.unowned_since, synced_at_ + kInitialClaimDelay) +
            kClaimDelayPerRank * static_cast<int64_t>(RankOf(resource, state));
      if (state.claimed_at != Millis(0)) {
        due = std::max(due, state.claimed_at + kClaimRetryDelay);
      }
    }
    due = std::max(due, now + Millis(1));
    if (next == Millis(0) || due < next) {
      next = due;
    }
  }
  return next;
}

bool Ownership::OwnedBySelf(const ResourceId& resource) const {
  const OwnerRecord* owner = OwnerOf(resource);
  return owner != nullptr && owner->machine == self_.machine &&
         owner->boot == self_.boot && owner->lease == lease_ && lease_ != 0;
}

Millis Ownership::ActiveFrom(const ResourceId& resource) const {
  return OwnedBySelf(resource) ? resources_.at(resource).active_from
                               : Millis(0);
}

int64_t Ownership::FencingToken(const ResourceId& resource, Millis now) const {
  if (!OwnedBySelf(resource) || now < resources_.at(resource).active_from) {
    return 0;
  }
  return ToFencingToken(resources_.at(resource).owner->revision);
}

const OwnerRecord* Ownership::OwnerOf(const ResourceId& resource) const {
  auto it = resources_.find(resource);
  return it != resources_.end() && it->second.owner ? &*it->second.owner
                                                    : nullptr;
}

const ClusterMember* Ownership::FindMember(const MachineId& machine) const {
  auto it = members_.find(machine);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<ResourceId> Ownership::Resources() const {
  std::vector<ResourceId> existing;
  for (const auto& [resource, state] : resources_) {
    if (state.exists) {
      existing.push_back(resource);
    }
  }
  return existing;
}

}  // namespace bilberrypitch
