// Reading and watching the store.
#include "gateway/store_sync.h"

#include <algorithm>

#include "base/log.h"
#include "serving/cluster_store.h"
#include "serving/instance_settings.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr StoreSyncIntervals kSlowestPace{Millis(1200), Millis(600)};
constexpr StoreSyncIntervals kFastestPace{Millis(150), Millis(20)};
// Parts of the promised times that a wait and a pause may take.
constexpr int64_t kWaitParts = 4;
constexpr int64_t kPauseParts = 8;
constexpr Millis kFirstRetry{100};
constexpr Millis kLongestRetry{600};
// After the store has come back entries may be missing for about this long.
constexpr Millis kSettleTime{2500};
constexpr int kFailuresToAway = 1;

}  // namespace

StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds) {
  Millis shortest = std::min(bounds.config_apply, bounds.drain) * 2;
  if (bounds.strict_revocation) {
    shortest = std::min(shortest, bounds.key_revocation);
  }
  StoreSyncIntervals pace;
  // Upstreams write all the time, and each answered watch is paid: a pause
  // lets their writes come together.
  pace.watch_timeout =
      std::clamp(Millis(shortest.count() / kWaitParts),
                 kFastestPace.watch_timeout, kSlowestPace.watch_timeout);
  pace.watch_pause =
      std::clamp(Millis(shortest.count() / kPauseParts),
                 kFastestPace.watch_pause, kSlowestPace.watch_pause);
  return pace;
}

StoreSync::StoreSync(EventLoop* loop, ClusterStore* store,
                     StoreSyncIntervals pace, Hooks hooks)
    : loop_(loop),
      store_(store),
      pace_(pace),
      hooks_(std::move(hooks)),
      retry_(loop) {}

void StoreSync::Start() { ReadAll(); }

bool StoreSync::Settling(Millis now) const {
  return away_ || (back_at_ != Millis(0) && now - back_at_ < kSettleTime);
}

void StoreSync::ReadAll() {
  reading_ = true;
  read_.clear();
  read_from_ = 0;
  read_sent_ = EventLoop::Now();
  ReadNext("");
}

void StoreSync::ReadNext(const std::string& after_key) {
  Millis sent = EventLoop::Now();
  store_->ReadPage("", after_key, [this, sent](StorePage page) {
    OnPage(std::move(page), sent);
  });
}

void StoreSync::OnPage(StorePage page, Millis sent) {
  if (page.outcome != StoreOutcome::kOk) {
    OnFailure("reading");
    return;
  }
  OnAnswer(EventLoop::Now());
  if (read_from_ == 0) {
    // Pages are no snapshot: what changed since the first is watched.
    read_from_ = page.revision;
    read_sent_ = sent;
  }
  std::string last = page.items.empty() ? "" : page.items.back().key;
  std::move(page.items.begin(), page.items.end(), std::back_inserter(read_));
  if (page.more && !last.empty()) {
    ReadNext(last);
    return;
  }
  reading_ = false;
  ever_synced_ = true;
  revision_ = read_from_;
  bool settling = Settling(EventLoop::Now());
  hooks_.on_full_read_started();
  for (const StoreItem& it : read_) {
    hooks_.on_item(it, settling);
  }
  hooks_.on_full_read_completed(read_, settling);
  read_.clear();
  hooks_.on_confirmed(read_sent_);
  Watch();
}

void StoreSync::Watch() {
  Millis sent = EventLoop::Now();
  store_->Watch("", revision_, pace_.watch_timeout,
                [this, sent](StoreWatchResult events) {
                  OnEvents(std::move(events), sent);
                });
}

void StoreSync::OnEvents(StoreWatchResult events, Millis sent) {
  if (events.outcome == StoreOutcome::kHistoryCompacted) {
    LogWarning("store", "The history after revision={} is gone; reading all.",
               revision_);
    OnAnswer(EventLoop::Now());
    ReadAll();
    return;
  }
  if (events.outcome != StoreOutcome::kOk) {
    OnFailure("watching");
    return;
  }
  Millis now = EventLoop::Now();
  OnAnswer(now);
  bool settling = Settling(now);
  for (const StoreItem& it : events.events) {
    hooks_.on_item(it, settling);
  }
  revision_ = std::max(revision_, events.revision);
  hooks_.on_confirmed(sent);
  if (events.events.empty()) {
    Watch();
  } else {
    retry_.Start(pace_.watch_pause, [this] { Watch(); });
  }
}

void StoreSync::OnFailure(const char* what) {
  ++failures_;
  if (!away_ && failures_ > kFailuresToAway) {
    away_ = true;
    away_since_ = EventLoop::Now();
    LogWarning("store", "Lost while {}, revision={}.", what, revision_);
  }
  Millis wait = std::min(kLongestRetry, kFirstRetry * failures_);
  retry_.Start(wait, [this] {
    if (reading_) {
      ReadAll();
    } else {
      Watch();
    }
  });
}

void StoreSync::OnAnswer(Millis now) {
  failures_ = 0;
  if (away_) {
    away_ = false;
    back_at_ = now;
    LogInfo("store", "Regained after {} ms, revision={}.",
            (now - away_since_).count(), revision_);
  }
}

}  // namespace bilberrypitch
