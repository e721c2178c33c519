// Follows the platform's store: reads all of it once, then watches for changes,
// and starts another full read when the store has compacted its history.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/strong.h"
#include "serving/store_item.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
struct ClusterBounds;
struct StoreWatchResult;
struct StorePage;

// Intervals of the watch calls. Both bound the age of the view of the store.
struct StoreSyncIntervals {
  // How long the store holds a watch call without changes.
  Millis watch_timeout;
  // Between a watch that returned changes and the next one.
  Millis watch_pause;
};

// Returns intervals that meet the time bounds of the deployment.
StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds);

// The pointers passed to the constructor must outlive it. Must be used on the
// event loop's thread only.
class StoreSync {
 public:
  struct Hooks {
    // A key was written or removed. `recovering`: the store was unavailable
    // until shortly before, so keys may be missing because their leases expired
    // and may come back soon.
    std::function<void(const StoreItem& item, bool recovering)> on_item;
    // The items of a full read follow.
    std::function<void()> on_full_read_started;
    // A full read ended. Keys that are not among `all` do not exist.
    std::function<void(const std::vector<StoreItem>& all, bool recovering)>
        on_full_read_completed;
    // This instance's view of the store was up to date at `at`.
    std::function<void(Millis at)> on_confirmed;
  };

  StoreSync(EventLoop* loop, ClusterStore* store, StoreSyncIntervals intervals,
            Hooks hooks);

  void Start();
  // The store revision that this instance has caught up with.
  int64_t revision() const { return revision_; }
  bool unavailable() const { return unavailable_; }
  // Whether a full read has ever completed.
  bool has_synced() const { return has_synced_; }

 private:
  void StartFullRead();
  void ReadNextPage(const std::string& after_key);
  void OnPage(StorePage page, Millis sent_at);
  void Watch();
  void OnEvents(StoreWatchResult result, Millis sent_at);
  void OnFailure(const char* activity);
  void OnResponse(Millis now);
  bool IsRecovering(Millis now) const;

  EventLoop* const loop_;
  ClusterStore* const store_;
  const StoreSyncIntervals intervals_;
  const Hooks hooks_;
  Timer next_call_timer_;
  bool has_synced_ = false;
  bool unavailable_ = false;
  Millis unavailable_since_;
  Millis recovered_at_;
  // A full read is in progress or to be retried.
  bool full_read_pending_ = false;
  std::vector<StoreItem> read_items_;
  int64_t read_revision_ = 0;
  Millis read_sent_at_;
  int64_t revision_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace bilberrypitch
