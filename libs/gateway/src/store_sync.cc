// Full reads and watch calls of the store, with their retries.
#include "gateway/store_sync.h"

#include <algorithm>

#include "base/log.h"
#include "serving/cluster_store.h"
#include "serving/instance_settings.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr StoreSyncIntervals kMaxIntervals{Millis(1200), Millis(600)};
constexpr StoreSyncIntervals kMinIntervals{Millis(150), Millis(20)};
// The watch timeout and the watch pause are these fractions of the shortest
// time bound.
constexpr int64_t kWatchTimeoutDivisor = 4;
constexpr int64_t kWatchPauseDivisor = 8;
constexpr Millis kRetryDelayStep{100};
constexpr Millis kMaxRetryDelay{600};
// For about this long after the store has recovered, records may be missing.
constexpr Millis kRecoveryTime{2500};
constexpr int kMaxToleratedFailures = 1;

}  // namespace

StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds) {
  Millis shortest_bound = std::min(bounds.config_apply, bounds.drain) * 2;
  if (bounds.strict_revocation) {
    shortest_bound = std::min(shortest_bound, bounds.key_revocation);
  }
  StoreSyncIntervals intervals;
  // Upstreams write all the time, and each watch call that returns has a cost.
  // The pause lets one watch collect several writes.
  intervals.watch_timeout =
      std::clamp(Millis(shortest_bound.count() / kWatchTimeoutDivisor),
                 kMinIntervals.watch_timeout, kMaxIntervals.watch_timeout);
  intervals.watch_pause =
      std::clamp(Millis(shortest_bound.count() / kWatchPauseDivisor),
                 kMinIntervals.watch_pause, kMaxIntervals.watch_pause);
  return intervals;
}

StoreSync::StoreSync(EventLoop* loop, ClusterStore* store,
                     StoreSyncIntervals intervals, Hooks hooks)
    : loop_(loop),
      store_(store),
      intervals_(intervals),
      hooks_(std::move(hooks)),
      next_call_timer_(loop) {}

void StoreSync::Start() { StartFullRead(); }

bool StoreSync::IsRecovering(Millis now) const {
  return unavailable_ ||
         (recovered_at_ != Millis(0) && now - recovered_at_ < kRecoveryTime);
}

void StoreSync::StartFullRead() {
  full_read_pending_ = true;
  read_items_.clear();
  read_revision_ = 0;
  read_sent_at_ = EventLoop::Now();
  ReadNextPage("");
}

void StoreSync::ReadNextPage(const std::string& after_key) {
  Millis sent_at = EventLoop::Now();
  store_->ReadPage("", after_key, [this, sent_at](StorePage page) {
    OnPage(std::move(page), sent_at);
  });
}

void StoreSync::OnPage(StorePage page, Millis sent_at) {
  if (page.outcome != StoreOutcome::kOk) {
    OnFailure("reading");
    return;
  }
  OnResponse(EventLoop::Now());
  if (read_revision_ == 0) {
    // The pages are no snapshot. The watch starts at the revision of the first
    // page, so it reports everything that changed since.
    read_revision_ = page.revision;
    read_sent_at_ = sent_at;
  }
  std::string last_key = page.items.empty() ? "" : page.items.back().key;
  std::move(page.items.begin(), page.items.end(),
            std::back_inserter(read_items_));
  if (page.more && !last_key.empty()) {
    ReadNextPage(last_key);
    return;
  }
  full_read_pending_ = false;
  has_synced_ = true;
  revision_ = read_revision_;
  bool recovering = IsRecovering(EventLoop::Now());
  hooks_.on_full_read_started();
  for (const StoreItem& item : read_items_) {
    hooks_.on_item(item, recovering);
  }
  hooks_.on_full_read_completed(read_items_, recovering);
  read_items_.clear();
  hooks_.on_confirmed(read_sent_at_);
  Watch();
}

void StoreSync::Watch() {
  Millis sent_at = EventLoop::Now();
  store_->Watch("", revision_, intervals_.watch_timeout,
                [this, sent_at](StoreWatchResult result) {
                  OnEvents(std::move(result), sent_at);
                });
}

void StoreSync::OnEvents(StoreWatchResult result, Millis sent_at) {
  if (result.outcome == StoreOutcome::kHistoryCompacted) {
    LogWarning(
        "store",
        "The history after revision={} was compacted; starting a full read.",
        revision_);
    OnResponse(EventLoop::Now());
    StartFullRead();
    return;
  }
  if (result.outcome != StoreOutcome::kOk) {
    OnFailure("watching");
    return;
  }
  Millis now = EventLoop::Now();
  OnResponse(now);
  bool recovering = IsRecovering(now);
  for (const StoreItem& item : result.events) {
    hooks_.on_item(item, recovering);
  }
  revision_ = std::max(revision_, result.revision);
  hooks_.on_confirmed(sent_at);
  if (result.events.empty()) {
    Watch();
  } else {
    next_call_timer_.Start(intervals_.watch_pause, [this] { Watch(); });
  }
}

void StoreSync::OnFailure(const char* activity) {
  ++consecutive_failures_;
  if (!unavailable_ && consecutive_failures_ > kMaxToleratedFailures) {
    unavailable_ = true;
    unavailable_since_ = EventLoop::Now();
    LogWarning("store", "Lost while {}, revision={}.", activity, revision_);
  }
  Millis delay =
      std::min(kMaxRetryDelay, kRetryDelayStep * consecutive_failures_);
  next_call_timer_.Start(delay, [this] {
    if (full_read_pending_) {
      StartFullRead();
    } else {
      Watch();
    }
  });
}

void StoreSync::OnResponse(Millis now) {
  consecutive_failures_ = 0;
  if (unavailable_) {
    unavailable_ = false;
    recovered_at_ = now;
    LogInfo("store", "Regained after {} ms, revision={}.",
            (now - unavailable_since_).count(), revision_);
  }
}

}  // namespace bilberrypitch
