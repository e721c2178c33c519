// Full reads and watch calls of the store, queries to readers, and the
// application of what they return.
#include "gateway/store_sync.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/cluster_records.h"
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

}  // namespace

StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds) {
  Millis shortest_bound = std::min(bounds.config_apply, bounds.drain) * 2;
  shortest_bound = std::min(shortest_bound, bounds.evacuation);
  if (bounds.strict_revocation) {
    shortest_bound = std::min(shortest_bound, bounds.key_revocation);
  }
  StoreSyncIntervals intervals;
  intervals.watch_timeout =
      std::clamp(Millis(shortest_bound.count() / kWatchTimeoutDivisor),
                 kMinIntervals.watch_timeout, kMaxIntervals.watch_timeout);
  intervals.watch_pause =
      std::clamp(Millis(shortest_bound.count() / kWatchPauseDivisor),
                 kMinIntervals.watch_pause, kMaxIntervals.watch_pause);
  return intervals;
}

StoreSync::StoreSync(EventLoop* loop, ClusterStore* store,
                     EventLoopHttpClient* client, const ClusterMember& self,
                     StoreSyncIntervals intervals, Hooks hooks)
    : store_(store),
      hooks_(std::move(hooks)),
      reader_client_(client),
      follower_(self, intervals),
      next_call_timer_(loop),
      zone_members_prefix_(MemberKeyPrefix(self.zone)) {}

void StoreSync::Start() { MakeNextCall(); }

void StoreSync::MakeNextCallAfter(Millis delay) {
  if (delay == Millis(0)) {
    MakeNextCall();
  } else {
    next_call_timer_.Start(delay, [this] { MakeNextCall(); });
  }
}

void StoreSync::MakeNextCall() {
  StoreCall call = follower_.NextCall(EventLoop::Now());
  if (call.reader != current_reader_) {
    LogInfo("store", "Takes changes from source={} era={} revision={}.",
            call.reader.empty() ? "store" : call.reader.str(),
            call.revision.era, call.revision.number);
    current_reader_ = call.reader;
  }
  switch (call.kind) {
    case StoreCallKind::kReadZoneMembers:
    case StoreCallKind::kReadAll:
      StartRead(call.kind);
      break;
    case StoreCallKind::kWatch:
      Watch(call);
      break;
    case StoreCallKind::kQueryReader:
      QueryReader(call);
      break;
  }
}

void StoreSync::StartRead(StoreCallKind kind) {
  read_kind_ = kind;
  read_items_.clear();
  read_revision_ = StoreRevision();
  ReadNextPage("");
}

void StoreSync::ReadNextPage(const std::string& after_key) {
  Millis sent_at = EventLoop::Now();
  bool all = read_kind_ == StoreCallKind::kReadAll;
  store_->ReadPage(
      all ? "" : zone_members_prefix_, after_key,
      [this, sent_at](StorePage page) { OnPage(std::move(page), sent_at); });
}

bool StoreSync::OnEra(std::optional<int64_t> era) {
  int64_t known_era = follower_.era();
  bool usable = era && follower_.OnEra(*era, EventLoop::Now());
  if (follower_.era() > known_era && follower_.has_synced()) {
    LogWarning("store",
               "Came back from an older copy: era={} after era={} revision={}.",
               follower_.era(), known_era, follower_.revision().number);
  }
  return usable;
}

void StoreSync::OnPage(StorePage page, Millis sent_at) {
  if (!OnEra(page.era) || page.outcome != StoreOutcome::kOk) {
    OnStoreFailure("reading");
    return;
  }
  bool first_page = read_revision_ == StoreRevision();
  if (!first_page && page.revision.era != read_revision_.era) {
    StartRead(read_kind_);  // The pages before are of a lost past.
    return;
  }
  if (first_page) {
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
  } else if (read_kind_ == StoreCallKind::kReadAll) {
    OnAllRead();
  } else {
    OnZoneMembersRead();
  }
}

void StoreSync::OnZoneMembersRead() {
  for (const StoreItem& item : read_items_) {
    hooks_.on_item(item, Millis(0));
  }
  read_items_.clear();
  MakeNextCallAfter(follower_.OnZoneMembersRead(EventLoop::Now()));
}

void StoreSync::OnAllRead() {
  Millis now = EventLoop::Now();
  bool was_unavailable = follower_.unavailable();
  Millis delay = follower_.OnFullRead(read_revision_, read_sent_at_, now);
  OnResponse(was_unavailable, false);
  ApplyAllItems(read_items_, read_revision_, follower_.ReturnDeadline(now));
  read_items_.clear();
  hooks_.on_confirmed(read_sent_at_);
  MakeNextCallAfter(delay);
}

void StoreSync::Watch(const StoreCall& call) {
  Millis sent_at = EventLoop::Now();
  store_->Watch("", call.revision, call.timeout,
                [this, sent_at](StoreWatchResult result) {
                  OnWatchResult(std::move(result), sent_at);
                });
}

void StoreSync::OnWatchResult(StoreWatchResult result, Millis sent_at) {
  Millis now = EventLoop::Now();
  bool was_unavailable = follower_.unavailable();
  bool usable = OnEra(result.era);
  if (usable && result.era != follower_.revision().era) {
    // Whatever the response says, it is not about the view's past.
    Millis delay = follower_.OnHistoryCompacted(now);
    OnResponse(was_unavailable, false);
    MakeNextCallAfter(delay);
    return;
  }
  if (usable && result.outcome == StoreOutcome::kHistoryCompacted) {
    LogWarning(
        "store",
        "The history after era={} revision={} was compacted; a full read "
        "is needed.",
        follower_.revision().era, follower_.revision().number);
    Millis delay = follower_.OnHistoryCompacted(now);
    OnResponse(was_unavailable, false);
    MakeNextCallAfter(delay);
    return;
  }
  if (!usable || result.outcome != StoreOutcome::kOk) {
    OnStoreFailure("watching");
    return;
  }
  Millis delay = follower_.OnStoreChanges(result.revision,
                                          !result.events.empty(), sent_at, now);
  OnResponse(was_unavailable, false);
  ApplyItems(result.events, follower_.ReturnDeadline(now));
  view_.AdvanceTo(result.revision);
  hooks_.on_confirmed(sent_at);
  MakeNextCallAfter(delay);
}

void StoreSync::QueryReader(const StoreCall& call) {
  Millis sent_at = EventLoop::Now();
  reader_client_.Query(
      hooks_.address_of(call.reader), call,
      [this, reader = call.reader, sent_at](ReaderClient::Result result) {
        OnReaderResult(reader, std::move(result), sent_at);
      });
}

void StoreSync::OnReaderResult(const MachineId& reader,
                               ReaderClient::Result result, Millis sent_at) {
  Millis now = EventLoop::Now();
  if (result.changes && !follower_.Accepts(*result.changes)) {
    result.changes.reset();
    result.failure = StoreFollower::ReaderFailure::kNotCurrent;
  }
  if (!result.changes) {
    MakeNextCallAfter(follower_.OnReaderFailure(reader, result.failure, now));
    return;
  }
  OnEra(result.changes->revision.era);
  const StoreChanges& changes = *result.changes;
  bool was_unavailable = follower_.unavailable();
  Millis delay = follower_.OnReaderChanges(reader, changes, sent_at, now);
  OnResponse(was_unavailable, true);
  Millis return_deadline = StoreFollower::ReturnDeadlineOf(changes, now);
  hooks_.on_return_deadline(return_deadline);
  if (changes.complete) {
    ApplyAllItems(changes.items, changes.revision, return_deadline);
  } else {
    ApplyItems(changes.items, return_deadline);
    view_.AdvanceTo(changes.revision);
  }
  hooks_.on_confirmed(follower_.confirmed_at());
  MakeNextCallAfter(delay);
}

void StoreSync::ApplyItems(const std::vector<StoreItem>& items,
                           Millis return_deadline) {
  for (const StoreItem& item : items) {
    if (IsStreamBatchKey(item.key)) {
      hooks_.on_item(item, return_deadline);
    } else if (!view_.HasRevisionOf(item)) {
      bool relevant = hooks_.on_item(item, return_deadline);
      view_.Apply(item, relevant);
    }
  }
}

void StoreSync::ApplyAllItems(const std::vector<StoreItem>& items,
                              StoreRevision revision, Millis return_deadline) {
  hooks_.on_full_read_started(revision.era > view_.revision().era);
  for (const StoreItem& item : items) {
    if (!view_.HasLaterRevisionOf(item)) {
      hooks_.on_item(item, return_deadline);
    }
  }
  hooks_.on_full_read_completed(items, revision, return_deadline);
  std::vector<StoreItem> passed_on = items;
  std::erase_if(passed_on, [](const StoreItem& item) {
    return IsStreamBatchKey(item.key);
  });
  view_.Reset(passed_on, revision);
}

void StoreSync::ApplyForeignItem(const StoreItem& item) {
  ApplyItems({item}, follower_.ReturnDeadline(EventLoop::Now()));
}

void StoreSync::Publish(const StoreItem& item) {
  if (!view_.Has(item.key)) {
    view_.Apply(item, true);
  }
}

void StoreSync::OnStoreFailure(const char* activity) {
  bool was_unavailable = follower_.unavailable();
  Millis delay = follower_.OnStoreFailure(EventLoop::Now());
  if (follower_.unavailable() && !was_unavailable) {
    LogWarning("store", "Lost while {}, era={} revision={}.", activity,
               follower_.revision().era, follower_.revision().number);
  }
  hooks_.on_store_failure();
  MakeNextCallAfter(delay);
}

void StoreSync::OnResponse(bool was_unavailable, bool by_reader) {
  if (!was_unavailable || follower_.unavailable()) {
    return;
  }
  LogInfo("store", "Regained after {} ms, era={} revision={}.",
          (EventLoop::Now() - follower_.unavailable_since()).count(),
          follower_.revision().era, follower_.revision().number);
  if (!by_reader && hooks_.on_regained()) {
    follower_.OnPeersAsked();
  }
}

void StoreSync::OnPeerGap(Millis longest_gap) {
  Millis now = EventLoop::Now();
  StoreOutage::Verdict before = follower_.outage().verdict();
  follower_.OnPeerGap(longest_gap);
  StoreOutage::Verdict verdict = follower_.outage().verdict();
  if (verdict != before && follower_.IsRecovering(now)) {
    LogInfo(
        "store", "Another instance saw {}.",
        verdict == StoreOutage::Verdict::kCutOff ? "no outage" : "an outage");
    hooks_.on_return_deadline(follower_.ReturnDeadline(now));
  }
}

}  // namespace bilberrypitch
