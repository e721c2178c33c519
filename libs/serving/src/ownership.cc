// Owners of engines.
#include "serving/ownership.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// After the first reading of the store, so that the other members of a common
// start are known before engines are divided.
constexpr Millis kSettle{1500};
// The next in rank claims when those before it did not.
constexpr Millis kRankStep{900};
constexpr Millis kClaimAgain{1500};
// Beyond the turn, for clocks and the order's way.
constexpr Millis kTurnMargin{250};

}  // namespace

Ownership::Ownership(Member self, Millis turn, Millis now)
    : self_(std::move(self)), turn_(turn), started_(now) {
  members_[self_.machine] = self_;
}

void Ownership::OnMember(const Member& member) {
  if (member.machine != self_.machine) {
    members_[member.machine] = member;
  }
}

void Ownership::OnMemberGone(const MachineId& machine) {
  if (machine != self_.machine) {
    members_.erase(machine);
  }
}

void Ownership::OnEngine(const UpstreamId& engine, const ZoneId& zone,
                         Millis now) {
  Engine& it = engines_[engine];
  it.zone = zone;
  if (it.listed) {
    return;
  }
  it.listed = true;
  if (!it.owner) {
    it.unowned_since = now;
    // Seen from its beginning: nobody has ordered it yet.
    it.had_owner = !synced_;
  }
}

void Ownership::OnEngineGone(const UpstreamId& engine) {
  engines_.erase(engine);
}

void Ownership::OnOwner(const UpstreamId& engine, const OwnerRecord& owner,
                        Millis now) {
  Engine& it = engines_[engine];
  if (it.owner && it.owner->revision >= owner.revision) {
    return;
  }
  bool is_self = owner.machine == self_.machine && owner.boot == self_.boot;
  if (is_self) {
    bool waits = it.had_owner && !it.last_owner_self;
    it.order_from = waits ? now + turn_ + kTurnMargin : now;
  }
  it.owner = owner;
  it.had_owner = true;
  it.last_owner_self = owner.machine == self_.machine;
}

void Ownership::OnOwnerGone(const UpstreamId& engine, Millis now) {
  auto it = engines_.find(engine);
  if (it != engines_.end() && it->second.owner) {
    it->second.owner.reset();
    it->second.unowned_since = now;
  }
}

void Ownership::OnSynced(Millis now) {
  if (!synced_) {
    synced_ = true;
    synced_at_ = now;
  }
}

size_t Ownership::RankOf(const UpstreamId& engine, const Engine& it) const {
  auto weight = [&engine, &it](const Member& member) {
    bool same_zone = member.zone == it.zone;
    return std::make_pair(same_zone,
                          StableHash(engine.str(), member.machine.str()));
  };
  auto own = weight(self_);
  size_t rank = 0;
  for (const auto& [machine, member] : members_) {
    rank += weight(member) > own ? 1 : 0;
  }
  return rank;
}

std::vector<Claim> Ownership::Claims(Millis now) {
  std::vector<Claim> claims;
  if (!synced_) {
    return claims;
  }
  for (auto& [engine, it] : engines_) {
    if (!it.listed ||
        (it.claimed_at != Millis(0) && now < it.claimed_at + kClaimAgain)) {
      continue;
    }
    if (it.owner) {
      bool own_machine = it.owner->machine == self_.machine;
      if (own_machine && it.owner->boot != self_.boot) {
        it.claimed_at = now;
        claims.push_back({engine, it.owner->revision});
      }
      continue;
    }
    Millis from = std::max(it.unowned_since, synced_at_ + kSettle);
    Millis rank = kRankStep * static_cast<int64_t>(RankOf(engine, it));
    if (now >= from + rank) {
      it.claimed_at = now;
      claims.push_back({engine, 0});
    }
  }
  return claims;
}

Millis Ownership::NextDue(Millis now) const {
  Millis next;
  for (const auto& [engine, it] : engines_) {
    if (!synced_ || !it.listed) {
      continue;
    }
    Millis due;
    if (it.owner) {
      bool old_boot = it.owner->machine == self_.machine &&
                      it.owner->boot != self_.boot;
      if (old_boot) {
        due = it.claimed_at + kClaimAgain;
      } else if (OwnedBySelf(engine) && it.order_from > now) {
        due = it.order_from;
      } else {
        continue;
      }
    } else {
      due = std::max(it.unowned_since, synced_at_ + kSettle) +
            kRankStep * static_cast<int64_t>(RankOf(engine, it));
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

bool Ownership::OwnedBySelf(const UpstreamId& engine) const {
  const OwnerRecord* owner = OwnerOf(engine);
  return owner != nullptr && owner->machine == self_.machine &&
         owner->boot == self_.boot;
}

Millis Ownership::MayOrderFrom(const UpstreamId& engine) const {
  return OwnedBySelf(engine) ? engines_.at(engine).order_from : Millis(0);
}

int64_t Ownership::Fence(const UpstreamId& engine, Millis now) const {
  if (!OwnedBySelf(engine) || now < engines_.at(engine).order_from) {
    return 0;
  }
  return engines_.at(engine).owner->revision;
}

const OwnerRecord* Ownership::OwnerOf(const UpstreamId& engine) const {
  auto it = engines_.find(engine);
  return it != engines_.end() && it->second.owner ? &*it->second.owner
                                                  : nullptr;
}

const Member* Ownership::FindMember(const MachineId& machine) const {
  auto it = members_.find(machine);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<UpstreamId> Ownership::Engines() const {
  std::vector<UpstreamId> engines;
  for (const auto& [engine, it] : engines_) {
    if (it.listed) {
      engines.push_back(engine);
    }
  }
  return engines;
}

}  // namespace bilberrypitch
