// Registration and claims of duties.
#include "gateway/membership.h"

#include <algorithm>
#include <vector>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRetryPeriod{350};

}  // namespace

Membership::Membership(EventLoop* loop, ClusterStore* store,
                       const ClusterMember& self, Millis lease_time,
                       Millis turn, PeerMessenger* peers, Hooks hooks)
    : store_(store),
      self_(self),
      peers_(peers),
      hooks_(std::move(hooks)),
      ownership_(self, turn, EventLoop::Now()),
      lease_(loop, store, lease_time, LeaseHooks()),
      claim_timer_(loop),
      register_timer_(loop) {}

void Membership::Start() { lease_.Start(); }

void Membership::StopClaiming() { claiming_ = false; }

LeaseManager::Hooks Membership::LeaseHooks() {
  LeaseManager::Hooks hooks;
  hooks.on_granted = [this](int64_t lease) {
    ownership_.OnLease(lease);
    Register();
    Schedule();
  };
  hooks.on_lost = [this] {
    ownership_.OnLease(0);
    for (const ResourceId& duty : ownership_.Resources()) {
      hooks_.on_ownership_changed(duty);
    }
  };
  return hooks;
}

void Membership::AddResource(const ResourceId& duty, const ZoneId& zone) {
  ownership_.OnResource(duty, zone, EventLoop::Now());
  Schedule();
}

void Membership::RemoveResource(const ResourceId& duty) {
  ownership_.OnResourceRemoved(duty);
}

void Membership::Register() {
  StoreTransaction commit;
  commit.writes.push_back(
      {MemberKey(self_.machine), EncodeMember(self_), lease_.lease_id()});
  store_->Commit(std::move(commit), [this](const StoreCommitResult& it) {
    if (it.outcome == StoreOutcome::kOk) {
      return;
    }
    LogWarning("peer", "Registration was not acknowledged, outcome={}.",
               static_cast<int>(it.outcome));
    register_timer_.Start(kRetryPeriod, [this] {
      if (lease_.lease_id() != 0) {
        Register();
      }
    });
  });
}

void Membership::OnStoreItem(const StoreItem& item) {
  MachineId machine = MachineFromMemberKey(item.key);
  if (!machine.empty()) {
    OnMember(machine, item);
    return;
  }
  ResourceId duty = ResourceFromOwnerKey(item.key);
  if (!duty.empty()) {
    OnOwner(duty, item);
  }
}

void Membership::OnOwner(const ResourceId& duty, const StoreItem& item) {
  Millis now = EventLoop::Now();
  std::optional<OwnerRecord> owner;
  if (!item.deleted) {
    owner = DecodeOwner(item);
  }
  if (owner) {
    ownership_.OnOwner(duty, *owner, now);
  } else {
    ownership_.OnOwnerRemoved(duty, now);
  }
  hooks_.on_ownership_changed(duty);
  Schedule();
}

void Membership::OnMember(const MachineId& machine, const StoreItem& item) {
  std::optional<ClusterMember> member;
  if (!item.deleted) {
    member = DecodeMember(item);
  }
  if (machine == self_.machine) {
    bool own = member && member->boot == self_.boot;
    if (!own && lease_.lease_id() != 0) {
      Register();  // The key of an earlier process, or it was removed.
    }
    return;
  }
  if (member) {
    if (peers_->peers().count(machine) == 0) {
      LogInfo("peer", "Joined machine={} zone={}.", machine.str(),
              member->zone.str());
    }
    ownership_.OnMember(*member);
    peers_->SetMember(*member);
  } else {
    LogInfo("peer", "Left machine={}.", machine.str());
    ownership_.OnMemberRemoved(machine);
    peers_->RemoveMember(machine);
    hooks_.on_member_removed(machine);
  }
  hooks_.on_members_changed();
}

void Membership::OnFullReadStarted() { ownership_.OnFullReadStarted(); }

void Membership::OnFullReadCompleted(const std::set<std::string>& keys) {
  std::vector<MachineId> missing;
  for (const auto& [machine, member] : peers_->peers()) {
    if (keys.count(MemberKey(machine)) == 0) {
      missing.push_back(machine);
    }
  }
  StoreItem gone;
  gone.deleted = true;
  for (const MachineId& machine : missing) {
    OnMember(machine, gone);
  }
  for (const ResourceId& duty : ownership_.Resources()) {
    if (keys.count(OwnerKey(duty)) == 0) {
      OnOwner(duty, gone);
    }
  }
  ownership_.OnFullReadCompleted(EventLoop::Now());
  Schedule();
}

void Membership::Schedule() {
  if (lease_.lease_id() == 0 || !claiming_) {
    return;  // A lease that is granted comes back here.
  }
  Millis now = EventLoop::Now();
  for (const OwnershipClaim& it : ownership_.TakeClaims(now)) {
    Write(it);
  }
  Millis due = ownership_.NextWakeup(now);
  if (due != Millis(0)) {
    claim_timer_.Start(std::max(Millis(1), due - now), [this] { Schedule(); });
  }
}

void Membership::Write(const OwnershipClaim& claim) {
  StoreTransaction commit;
  std::string key = OwnerKey(claim.resource);
  commit.conditions.push_back({key, claim.revision});
  int64_t lease = lease_.lease_id();
  commit.writes.push_back(
      {key, EncodeOwner(self_, claim.takeover_complete), lease});
  store_->Commit(
      std::move(commit), [this, claim, lease](const StoreCommitResult& it) {
        if (it.outcome != StoreOutcome::kOk) {
          return;  // The watch tells how it stands; it is tried again.
        }
        ownership_.OnOwner(claim.resource,
                           {self_.machine, self_.boot, it.revision, lease,
                            claim.takeover_complete},
                           EventLoop::Now());
        hooks_.on_ownership_changed(claim.resource);
        Schedule();
      });
}

}  // namespace bilberrypitch
