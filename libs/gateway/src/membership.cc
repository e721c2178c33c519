// Registration of this instance and claims of resources.
#include "gateway/membership.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRegisterRetryDelay{350};
// From a change to the claims that follow from it.
constexpr Millis kClaimPassDelay{1};

}  // namespace

Membership::Membership(EventLoop* loop, ClusterStore* store,
                       const ClusterMember& self, Millis lease_ttl,
                       Millis takeover_delay, PeerMessenger* peers, Hooks hooks)
    : store_(store),
      self_(self),
      lease_ttl_(lease_ttl),
      peers_(peers),
      hooks_(std::move(hooks)),
      ownership_(self, takeover_delay, lease_ttl, EventLoop::Now()),
      lease_manager_(loop, store, lease_ttl, LeaseHooks()),
      claim_timer_(loop),
      register_timer_(loop),
      missing_timer_(loop) {}

void Membership::Start() { lease_manager_.Start(); }

void Membership::StopClaiming() { claiming_ = false; }

LeaseManager::Hooks Membership::LeaseHooks() {
  LeaseManager::Hooks hooks;
  hooks.on_granted = [this](int64_t lease_id) {
    ownership_.OnLease(lease_id);
    Register();
    ProcessClaims();
  };
  hooks.on_lost = [this] {
    ownership_.OnLease(0);
    for (const ResourceId& resource : ownership_.Resources()) {
      hooks_.on_ownership_changed(resource);
    }
  };
  hooks.on_era = [this](std::optional<int64_t> era) { OnStoreEra(era); };
  return hooks;
}

void Membership::OnStoreEra(std::optional<int64_t> era) {
  Millis now = EventLoop::Now();
  bool is_new = era && ownership_.OnEra(*era, lease_manager_.ValidUntil(), now);
  if (is_new) {
    LogWarning("peer", "The store is in era={}.", *era);
    missing_until_ = now + lease_ttl_;
    lease_manager_.OnEra(*era);
  }
}

void Membership::AddResource(const ResourceId& resource, const ZoneId& zone) {
  ownership_.OnResource(resource, zone, EventLoop::Now());
  ScheduleClaims();
}

void Membership::RemoveResource(const ResourceId& resource) {
  ownership_.OnResourceRemoved(resource);
}

void Membership::Register() {
  StoreTransaction transaction;
  transaction.writes.push_back(
      {MemberKey(self_), EncodeMember(self_), lease_manager_.lease_id()});
  store_->Commit(
      std::move(transaction), [this](const StoreCommitResult& result) {
        // A new era has lost the lease; the next one brings a new record.
        OnStoreEra(result.era);
        if (result.outcome == StoreOutcome::kOk) {
          return;
        }
        LogWarning("peer", "Registration was not acknowledged, outcome={}.",
                   static_cast<int>(result.outcome));
        register_timer_.Start(kRegisterRetryDelay, [this] {
          if (lease_manager_.lease_id() != 0) {
            Register();
          }
        });
      });
}

void Membership::OnStoreItem(const StoreItem& item) {
  OnStoreEra(item.revision.era);
  MachineId machine = MachineFromMemberKey(item.key);
  if (!machine.empty()) {
    OnMember(machine, item);
    return;
  }
  ResourceId resource = ResourceFromOwnerKey(item.key);
  if (!resource.empty()) {
    OnOwner(resource, item);
  }
}

void Membership::OnOwner(const ResourceId& resource, const StoreItem& item) {
  Millis now = EventLoop::Now();
  std::optional<OwnerRecord> owner;
  if (!item.deleted) {
    owner = DecodeOwner(item);
  }
  if (owner) {
    ownership_.OnOwner(resource, *owner, now);
  } else {
    ownership_.OnOwnerRemoved(resource, now, item.revision);
  }
  hooks_.on_ownership_changed(resource);
  ScheduleClaims();
}

void Membership::OnMember(const MachineId& machine, const StoreItem& item) {
  std::optional<ClusterMember> member;
  if (!item.deleted) {
    member = DecodeMember(item);
  }
  if (machine == self_.machine) {
    bool is_own_record = member && member->boot == self_.boot;
    if (!is_own_record && lease_manager_.lease_id() != 0) {
      Register();  // An earlier process wrote the key, or it was removed.
    }
    return;
  }
  missing_members_.erase(machine);
  if (member) {
    auto known = peers_->peers().find(machine);
    if (known == peers_->peers().end()) {
      LogInfo("peer", "Joined machine={} zone={}.", machine.str(),
              member->zone.str());
    } else if (known->second.boot != member->boot) {
      // The removal of the previous process's record need not have been seen.
      hooks_.on_member_removed(machine);
    }
    ownership_.OnMember(*member);
    peers_->SetMember(*member);
    hooks_.on_member_set(*member);
  } else {
    LogInfo("peer", "Left machine={}.", machine.str());
    ownership_.OnMemberRemoved(machine);
    peers_->RemoveMember(machine);
    hooks_.on_member_removed(machine);
  }
  hooks_.on_members_changed();
}

void Membership::OnFullReadStarted() { ownership_.OnFullReadStarted(); }

void Membership::OnFullReadCompleted(const std::set<std::string>& keys,
                                     StoreRevision revision) {
  OnStoreEra(revision.era);
  for (const auto& [machine, member] : peers_->peers()) {
    if (keys.count(MemberKey(member)) == 0) {
      missing_members_.insert(machine);
    }
  }
  RemoveMissingMembers();
  StoreItem removed_item;
  removed_item.deleted = true;
  removed_item.revision = revision;
  for (const ResourceId& resource : ownership_.Resources()) {
    if (keys.count(OwnerKey(resource)) == 0) {
      OnOwner(resource, removed_item);
    }
  }
  ownership_.OnFullReadCompleted(EventLoop::Now());
  ScheduleClaims();
}

// Shares of rates and budgets are divided by the number of members, so those
// that only the store has lost must not be missing at once.
void Membership::RemoveMissingMembers() {
  Millis now = EventLoop::Now();
  if (missing_members_.empty()) {
    return;
  }
  if (now < missing_until_) {
    missing_timer_.Start(missing_until_ - now,
                         [this] { RemoveMissingMembers(); });
    return;
  }
  StoreItem removed_item;
  removed_item.deleted = true;
  for (const MachineId& machine : std::exchange(missing_members_, {})) {
    OnMember(machine, removed_item);
  }
}

// A pass goes over all resources, and a store that has lost its latest writes
// may change all of them at once: one pass serves for all changes of a moment.
void Membership::ScheduleClaims() {
  if (!claims_scheduled_) {
    claims_scheduled_ = true;
    claim_timer_.Start(kClaimPassDelay, [this] { ProcessClaims(); });
  }
}

void Membership::ProcessClaims() {
  claims_scheduled_ = false;
  if (lease_manager_.lease_id() == 0 || !claiming_) {
    return;  // on_granted calls this function again.
  }
  Millis now = EventLoop::Now();
  for (const OwnershipClaim& claim : ownership_.TakeClaims(now)) {
    WriteClaim(claim);
  }
  Millis wakeup = ownership_.NextWakeup(now);
  if (wakeup != Millis(0)) {
    claim_timer_.Start(std::max(Millis(1), wakeup - now),
                       [this] { ProcessClaims(); });
  }
}

void Membership::WriteClaim(const OwnershipClaim& claim) {
  StoreTransaction transaction;
  std::string key = OwnerKey(claim.resource);
  transaction.conditions.push_back({key, claim.revision});
  int64_t lease_id = lease_manager_.lease_id();
  transaction.writes.push_back(
      {key, EncodeOwner(self_, claim.takeover_complete), lease_id});
  store_->Commit(std::move(transaction), [this, claim, lease_id](
                                             const StoreCommitResult& result) {
    OnStoreEra(result.era);
    if (result.outcome != StoreOutcome::kOk) {
      for (const StoreItem& item : result.current) {
        OnStoreItem(item);
      }
      return;  // The claim is retried if there is still no owner.
    }
    ownership_.OnOwner(claim.resource,
                       {self_.machine, self_.boot, result.revision, lease_id,
                        claim.takeover_complete},
                       EventLoop::Now());
    hooks_.on_ownership_changed(claim.resource);
    ScheduleClaims();
  });
}

}  // namespace bilberrypitch
