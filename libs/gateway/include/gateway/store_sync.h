// Follows the platform's store: reads all of it once, then watches, and reads
// again where the history was dropped.
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

// How often the store is asked: both bound the age of what is known.
struct StoreSyncIntervals {
  Millis watch_timeout;  // Longest time that one watch waits at the store.
  Millis watch_pause;    // Between a watch that brought something and the next.
};

// A pace that keeps to the promised times of the deployment.
StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds);

// On the loop's thread only.
class StoreSync {
 public:
  struct Hooks {
    // A key was written or removed. `settling`: the store was away until
    // shortly before, so leases may have lapsed that will come back.
    std::function<void(const StoreItem& item, bool settling)> on_item;
    // A whole reading begins.
    std::function<void()> on_full_read_started;
    // A whole reading ended; what it did not name is missing.
    std::function<void(const std::vector<StoreItem>& all, bool settling)>
        on_full_read_completed;
    // What is known was the store's state at `at`.
    std::function<void(Millis at)> on_confirmed;
  };

  StoreSync(EventLoop* loop, ClusterStore* store, StoreSyncIntervals pace,
            Hooks hooks);

  void Start();
  // The revision up to which the store is known.
  int64_t revision() const { return revision_; }
  bool unavailable() const { return away_; }
  bool has_synced() const { return ever_synced_; }

 private:
  void ReadAll();
  void ReadNext(const std::string& after_key);
  void OnPage(StorePage page, Millis sent);
  void Watch();
  void OnEvents(StoreWatchResult events, Millis sent);
  void OnFailure(const char* what);
  void OnAnswer(Millis now);
  bool Settling(Millis now) const;

  EventLoop* const loop_;
  ClusterStore* const store_;
  const StoreSyncIntervals pace_;
  const Hooks hooks_;
  Timer retry_;
  bool ever_synced_ = false;
  bool away_ = false;
  Millis away_since_;
  Millis back_at_;
  bool reading_ = false;  // A whole reading is wanted or under way.
  std::vector<StoreItem> read_;
  int64_t read_from_ = 0;
  Millis read_sent_;
  int64_t revision_ = 0;
  int failures_ = 0;  // In a row.
};

}  // namespace bilberrypitch
