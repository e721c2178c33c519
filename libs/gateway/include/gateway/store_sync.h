// Keeps this instance's view of the store current: makes the calls that
// StoreFollower decides on, to the store or to a reader, and reports what they
// return.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/strong.h"
#include "gateway/reader_client.h"
#include "serving/store_follower.h"
#include "serving/store_item.h"
#include "serving/store_view.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class EventLoopHttpClient;
struct ClusterBounds;
struct StoreWatchResult;
struct StorePage;

// Returns intervals that meet the time bounds of the deployment.
StoreSyncIntervals SyncIntervalsFor(const ClusterBounds& bounds);

// The pointers passed to the constructor must outlive it. Must be used on the
// event loop's thread only.
class StoreSync {
 public:
  struct Hooks {
    // A key was written or removed. `return_deadline`: until then, a removed
    // key may come back, because its lease may have expired only while the
    // store was unavailable; zero: it does not. Returns whether the record
    // differs from the previous one in something that an instance uses.
    std::function<bool(const StoreItem& item, Millis return_deadline)> on_item;
    // The items of a full read follow. `is_new_era`: the first one since the
    // store came back from an older copy.
    std::function<void(bool is_new_era)> on_full_read_started;
    // A full read ended. Keys that are not among `all` did not exist at
    // `revision`.
    std::function<void(const std::vector<StoreItem>& all,
                       StoreRevision revision, Millis return_deadline)>
        on_full_read_completed;
    // This instance's view of the store was up to date at `at`.
    std::function<void(Millis at)> on_confirmed;
    // The store did not respond to this instance.
    std::function<void()> on_store_failure;
    // It responds again. Returns whether other instances were asked if they
    // have seen an outage.
    std::function<bool()> on_regained;
    // Until when missing records may return has been found out.
    std::function<void(Millis return_deadline)> on_return_deadline;
    // Returns the address for peers of a machine; empty if it is not known.
    std::function<std::string(const MachineId& machine)> address_of;
  };

  StoreSync(EventLoop* loop, ClusterStore* store, EventLoopHttpClient* client,
            const ClusterMember& self, StoreSyncIntervals intervals,
            Hooks hooks);

  void Start();
  // Applies a record that another instance has passed on outside of the calls
  // made here. Ignored if it is not newer than the known one.
  void ApplyForeignItem(const StoreItem& item);

  // A response of the store or of a peer states this era; none: it states
  // nothing. Returns whether the response may be used.
  bool OnEra(std::optional<int64_t> era);
  // Another instance's longest time without a confirmation by the store.
  void OnPeerGap(Millis longest_gap);
  // Passes a record of this instance on to its followers, unless the view has
  // one of this key.
  void Publish(const StoreItem& item);

  StoreFollower* follower() { return &follower_; }
  const StoreFollower& follower() const { return follower_; }
  const StoreView& view() const { return view_; }

 private:
  void MakeNextCall();
  void MakeNextCallAfter(Millis delay);
  void StartRead(StoreCallKind kind);
  void ReadNextPage(const std::string& after_key);
  void OnPage(StorePage page, Millis sent_at);
  void OnZoneMembersRead();
  void OnAllRead();
  void Watch(const StoreCall& call);
  void OnWatchResult(StoreWatchResult result, Millis sent_at);
  void QueryReader(const StoreCall& call);
  void OnReaderResult(const MachineId& reader, ReaderClient::Result result,
                      Millis sent_at);
  void OnStoreFailure(const char* activity);
  void ApplyItems(const std::vector<StoreItem>& items, Millis return_deadline);
  void ApplyAllItems(const std::vector<StoreItem>& items,
                     StoreRevision revision, Millis return_deadline);
  // The store has responded, after `was_unavailable`. `by_reader`: a reader
  // has passed the response on.
  void OnResponse(bool was_unavailable, bool by_reader);

  ClusterStore* const store_;
  const Hooks hooks_;
  ReaderClient reader_client_;
  StoreFollower follower_;
  StoreView view_;
  Timer next_call_timer_;
  const std::string zone_members_prefix_;
  // The pages of a read in progress.
  StoreCallKind read_kind_ = StoreCallKind::kReadAll;
  std::vector<StoreItem> read_items_;
  StoreRevision read_revision_;
  Millis read_sent_at_;
  MachineId current_reader_;  // For the log; empty: the store.
};

}  // namespace bilberrypitch
