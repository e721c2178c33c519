// Grants and renewals.
#include "gateway/lease_manager.h"

#include "base/log.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRetry{300};
constexpr int64_t kRenewalsPerLife = 4;
// Before the end: an order that leaves now must arrive within the lease.
constexpr Millis kValidMargin{300};

}  // namespace

LeaseManager::LeaseManager(EventLoop* loop, ClusterStore* store,
                           Millis time_to_live, Hooks hooks)
    : store_(store),
      time_to_live_(time_to_live),
      hooks_(std::move(hooks)),
      timer_(loop) {}

void LeaseManager::Start() { Grant(); }

void LeaseManager::Revoke() {
  ended_ = true;
  timer_.Cancel();
  if (lease_ != 0) {
    store_->RevokeLease(lease_);
    lease_ = 0;
  }
}

bool LeaseManager::IsValid(Millis now) const {
  return lease_ != 0 && now + kValidMargin < valid_until_;
}

void LeaseManager::Grant() {
  Millis sent = EventLoop::Now();
  store_->GrantLease(time_to_live_, [this, sent](const StoreLeaseResult& it) {
    OnGranted(it, sent);
  });
}

void LeaseManager::OnGranted(const StoreLeaseResult& it, Millis sent) {
  if (ended_) {
    return;
  }
  if (it.outcome != StoreOutcome::kOk || it.lease == 0) {
    timer_.Start(kRetry, [this] { Grant(); });
    return;
  }
  lease_ = it.lease;
  valid_until_ = sent + it.time_to_live;
  LogInfo("lease", "Granted lease={} ttl_ms={}.", lease_,
          it.time_to_live.count());
  timer_.Start(Millis(time_to_live_.count() / kRenewalsPerLife),
               [this] { Renew(); });
  hooks_.on_granted(lease_);
}

void LeaseManager::Renew() {
  Millis sent = EventLoop::Now();
  store_->RenewLease(lease_, [this, sent](const StoreLeaseResult& it) {
    OnRenewed(it, sent);
  });
}

void LeaseManager::OnRenewed(const StoreLeaseResult& it, Millis sent) {
  if (ended_) {
    return;
  }
  if (it.outcome == StoreOutcome::kLeaseNotFound) {
    LogWarning("lease", "The store says that lease={} has ended.", lease_);
    lease_ = 0;
    hooks_.on_lost();
    Grant();
    return;
  }
  if (it.outcome != StoreOutcome::kOk) {
    timer_.Start(kRetry, [this] { Renew(); });
    return;
  }
  valid_until_ = sent + time_to_live_;
  timer_.Start(Millis(time_to_live_.count() / kRenewalsPerLife),
               [this] { Renew(); });
}

}  // namespace bilberrypitch
