// Grant, renewal and revocation of the lease.
#include "gateway/lease_manager.h"

#include "base/log.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRetryDelay{300};
constexpr int64_t kRenewalsPerLifetime = 4;
// The lease counts as invalid this long before its end, so that an order sent
// while it is valid arrives before the lease ends.
constexpr Millis kValidityMargin{300};

}  // namespace

LeaseManager::LeaseManager(EventLoop* loop, ClusterStore* store,
                           Millis time_to_live, Hooks hooks)
    : store_(store),
      time_to_live_(time_to_live),
      hooks_(std::move(hooks)),
      timer_(loop) {}

void LeaseManager::Start() { Grant(); }

void LeaseManager::Revoke() {
  revoked_ = true;
  timer_.Cancel();
  if (lease_id_ != 0) {
    store_->RevokeLease(lease_id_);
    lease_id_ = 0;
  }
}

Millis LeaseManager::ValidUntil() const {
  return lease_id_ != 0 ? valid_until_ - kValidityMargin : Millis(0);
}

void LeaseManager::OnEra(int64_t era) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  if (lease_id_ != 0) {
    LogWarning("lease", "lease={} is of an earlier era of the store.",
               lease_id_);
    LoseLease();
  }
}

void LeaseManager::LoseLease() {
  timer_.Cancel();
  lease_id_ = 0;
  hooks_.on_lost();
  Grant();
}

void LeaseManager::Grant() {
  Millis sent_at = EventLoop::Now();
  store_->GrantLease(time_to_live_,
                     [this, sent_at](const StoreLeaseResult& result) {
                       OnGranted(result, sent_at);
                     });
}

void LeaseManager::OnGranted(const StoreLeaseResult& result, Millis sent_at) {
  if (revoked_) {
    return;
  }
  hooks_.on_era(result.era);
  bool usable = result.outcome == StoreOutcome::kOk && result.lease != 0 &&
                result.era.value_or(0) == era_;
  if (!usable) {
    timer_.Start(kRetryDelay, [this] { Grant(); });
    return;
  }
  lease_id_ = result.lease;
  ++lease_count_;
  valid_until_ = sent_at + result.time_to_live;
  LogInfo("lease", "Granted lease={} ttl_ms={}.", lease_id_,
          result.time_to_live.count());
  timer_.Start(Millis(time_to_live_.count() / kRenewalsPerLifetime),
               [this] { Renew(); });
  hooks_.on_granted(lease_id_);
}

void LeaseManager::Renew() {
  Millis sent_at = EventLoop::Now();
  store_->RenewLease(lease_id_, [this, sent_at, lease_count = lease_count_](
                                    const StoreLeaseResult& result) {
    bool is_current = lease_id_ != 0 && lease_count == lease_count_;
    if (!revoked_ && is_current) {
      OnRenewed(result, sent_at);
    }
  });
}

void LeaseManager::OnRenewed(const StoreLeaseResult& result, Millis sent_at) {
  int64_t lease_count = lease_count_;
  hooks_.on_era(result.era);
  if (lease_id_ == 0 || lease_count != lease_count_) {
    return;  // The lease was of an earlier era.
  }
  if (result.outcome == StoreOutcome::kLeaseNotFound) {
    LogWarning("lease", "The store reports that lease={} has ended.",
               lease_id_);
    LoseLease();
    return;
  }
  if (result.outcome != StoreOutcome::kOk) {
    timer_.Start(kRetryDelay, [this] { Renew(); });
    return;
  }
  valid_until_ = sent_at + time_to_live_;
  timer_.Start(Millis(time_to_live_.count() / kRenewalsPerLifetime),
               [this] { Renew(); });
}

}  // namespace bilberrypitch
