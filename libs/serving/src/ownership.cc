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
// For this long the owner of an earlier era of the store claims before others.
constexpr Millis kEarlierOwnerTime{1500};

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

Ownership::Ownership(ClusterMember self, Millis takeover_delay,
                     Millis lease_ttl, Millis now)
    : self_(std::move(self)),
      takeover_delay_(takeover_delay),
      lease_ttl_(lease_ttl),
      started_(now) {
  members_[self_.machine] = self_;
}

bool Ownership::OnEra(int64_t era, Millis lease_valid_until, Millis now) {
  if (era <= era_) {
    return false;
  }
  for (auto& [resource, state] : resources_) {
    if (FencingToken(resource, now) != 0) {
      state.continues_until = lease_valid_until;
    }
    state.had_owner = true;
    state.claimed_at = Millis(0);
  }
  era_ = era;
  earlier_owners_until_ = now + lease_ttl_;
  lease_ = 0;
  return true;
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
    // has owned it yet. But a resource of an earlier era may appear again.
    bool may_be_earlier =
        now < earlier_owners_until_ + takeover_delay_ + kTakeoverMargin;
    state.had_owner = !synced_ || in_full_read_ || (era_ > 0 && may_be_earlier);
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
  OnEra(owner.revision.era, Millis(0), now);
  ResourceState& state = resources_[resource];
  bool outdated = owner.revision.era < era_ ||
                  (state.owner && state.owner->revision >= owner.revision);
  if (outdated) {
    return;
  }
  bool owned_by_self =
      owner.machine == self_.machine && owner.boot == self_.boot;
  bool already_owned =
      owned_by_self && state.owner && state.owner->boot == self_.boot &&
      state.owner->lease == owner.lease && state.owner->revision.era == era_;
  if (owned_by_self && !already_owned) {
    state.active_from = TakeoverEnd(state, now);
  }
  // A copy may contain the first state that is seen in an era, but not a later
  // one. An own record under another lease may be a claim of an earlier era
  // that the store executed late.
  state.written_in_era =
      era_ == 0 || IsOwnRecord(owner) ||
      (state.known_era == era_ && owner.machine != self_.machine);
  state.known_era = era_;
  state.owner = owner;
  state.had_owner = true;
  if (owner.machine != self_.machine) {
    state.continues_until = Millis(0);
  } else if (!IsOwnRecord(owner)) {
    state.claimed_at = Millis(0);  // The claim can name the revision now.
  }
}

Millis Ownership::TakeoverEnd(const ResourceState& state, Millis now) const {
  if (now < state.continues_until || !NeedsTakeoverDelay(state)) {
    return now;
  }
  return std::max(now, earlier_owners_until_) + takeover_delay_ +
         kTakeoverMargin;
}

bool Ownership::NeedsTakeoverDelay(const ResourceState& state) const {
  // A claim is conditional on the revision of the key. If the key names this
  // machine, no other machine can have owned the resource in between.
  bool held_by_this_machine =
      state.owner && state.owner->machine == self_.machine;
  return state.had_owner &&
         !(held_by_this_machine && state.owner->takeover_complete &&
           state.owner->revision.era == era_ && state.written_in_era);
}

void Ownership::OnOwnerRemoved(const ResourceId& resource, Millis now,
                               StoreRevision revision) {
  if (revision != kLatestRevision) {
    OnEra(revision.era, Millis(0), now);
  }
  if (revision.era < era_) {
    return;
  }
  // Only the last change of a key may be reported, so neither the owner nor the
  // resource need have been seen before.
  auto [it, inserted] = resources_.try_emplace(resource);
  ResourceState& state = it->second;
  state.had_owner = true;
  bool owner_removed = state.owner && state.owner->revision <= revision;
  if (inserted || owner_removed) {
    bool lost_with_era = state.owner && state.owner->revision.era < era_;
    state.unowned_since = lost_with_era ? now + kEarlierOwnerTime : now;
  }
  if (owner_removed) {
    state.owner.reset();
  }
  if (!state.owner) {
    state.known_era = era_;
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
      bool owned_by_self = OwnedBySelf(resource);
      bool completes_takeover = owned_by_self &&
                                !state.owner->takeover_complete &&
                                now >= state.active_from;
      // Records the end of the takeover delay, or claims a key that an earlier
      // process or lease of this machine left behind.
      if (completes_takeover || IsReclaim(state)) {
        state.claimed_at = now;
        claims.push_back({resource, KnownRevision(state),
                          completes_takeover || !NeedsTakeoverDelay(state)});
      }
      continue;
    }
    if (now >= ClaimableFrom(resource, state, now)) {
      state.claimed_at = now;
      claims.push_back({resource, StoreRevision(), !NeedsTakeoverDelay(state)});
    }
  }
  return claims;
}

Millis Ownership::ClaimableFrom(const ResourceId& resource,
                                const ResourceState& state, Millis now) const {
  if (now < state.continues_until) {
    return now;
  }
  return std::max(state.unowned_since, synced_at_ + kInitialClaimDelay) +
         kClaimDelayPerRank * static_cast<int64_t>(RankOf(resource, state));
}

StoreRevision Ownership::KnownRevision(const ResourceState& state) const {
  // A number of an earlier era may have been given out again. While the key's
  // state in this era isn't known, the claim asks that there be none; the
  // rejection tells the state.
  bool known = state.owner && state.owner->revision.era == era_;
  return known ? state.owner->revision : StoreRevision();
}

bool Ownership::IsReclaim(const ResourceState& state) const {
  return state.owner && state.owner->machine == self_.machine &&
         !IsOwnRecord(*state.owner);
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
      if (IsReclaim(state)) {
        due = state.claimed_at + kClaimRetryDelay;
      } else if (OwnedBySelf(resource) &&
                 (state.active_from > now || !state.owner->takeover_complete)) {
        due = std::max(state.active_from, state.claimed_at + kClaimRetryDelay);
      } else {
        continue;
      }
    } else {
      due = ClaimableFrom(resource, state, now);
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
  return owner != nullptr && IsOwnRecord(*owner);
}

bool Ownership::IsOwnRecord(const OwnerRecord& owner) const {
  // The lease is of this era, so a copy has no key that is bound to it.
  return owner.machine == self_.machine && owner.boot == self_.boot &&
         owner.lease == lease_ && lease_ != 0 && owner.revision.era == era_;
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
