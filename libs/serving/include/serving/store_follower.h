// Decides from whom an instance takes changes of the store.
//
// A few instances of each availability zone, the *readers*, watch the store.
// The others query a reader, which holds the query until it knows of a change.
// So the calls to the store do not grow with the number of instances.
//
// The readers are the first members of the zone in an order that all members
// agree on: larger machines first, then by a hash. Members may disagree for a
// moment while the membership changes; an instance that is queried although it
// is no reader watches the store for as long as it is queried.
//
// An instance that starts reads only which members its zone has, and takes the
// rest from a reader.
//
// A response of a reader confirms the follower's view as of the moment at which
// the reader's own view was confirmed by the store. A reader whose view is
// older than `MaxReaderAge` does not respond with it, so that followers turn to
// another reader, and then to the store, well within the bounds on
// configurations and draining upstreams.
//
// A store that comes back from an older copy is in a new era. What was known of
// an earlier era is then a lost past: all records have to be read again, and
// responses of an earlier era, which come late or from an instance that is
// behind, are not applied and confirm nothing.
//
// No I/O: the calling code makes the calls and reports their outcome. All times
// are on the clock that includes suspension.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "serving/ownership.h"
#include "serving/store_call.h"
#include "serving/store_outage.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// State machine of one instance. Not thread-safe.
class StoreFollower {
 public:
  // Why a reader gave no changes.
  enum class ReaderFailure : uint8_t {
    kNotCurrent,  // It responded that its own view is too old.
    kNoResponse,  // It did not respond in time, or the connection failed.
  };

  StoreFollower(const ClusterMember& self, StoreSyncIntervals intervals);

  void OnMember(const ClusterMember& member);
  void OnMemberRemoved(const MachineId& machine);
  // Another instance queried this one.
  void OnQueried(Millis now) {
    queried_at_ = now;
    was_queried_ = true;
  }

  // A response of the store states this era. Called before the outcome itself
  // is reported, for failed calls too. Returns whether the response may be
  // used: not if a later era is known.
  bool OnEra(int64_t era, Millis now);

  // Returns the next call. One call is made at a time.
  StoreCall NextCall(Millis now) const;

  // The outcome of the last call. Each returns the delay until the next call.
  // `sent_at`: when the call was sent; `revision`: up to which the response is
  // complete.
  Millis OnZoneMembersRead(Millis now);
  Millis OnFullRead(StoreRevision revision, Millis sent_at, Millis now);
  Millis OnStoreChanges(StoreRevision revision, bool changed, Millis sent_at,
                        Millis now);
  Millis OnHistoryCompacted(Millis now);
  Millis OnStoreFailure(Millis now);
  // Changes that Accepts rejects count as ReaderFailure::kNotCurrent.
  Millis OnReaderChanges(const MachineId& reader, const StoreChanges& changes,
                         Millis sent_at, Millis now);
  Millis OnReaderFailure(const MachineId& reader, ReaderFailure failure,
                         Millis now);

  // Whether these changes continue this instance's view or replace it. Not if
  // they are of an era that is over.
  bool Accepts(const StoreChanges& changes) const;
  // The store revision that this instance has caught up with.
  StoreRevision revision() const { return revision_; }
  // The latest era that is known of.
  int64_t era() const { return era_; }
  // Whether the instance has ever known all records.
  bool has_synced() const { return has_synced_; }
  // The view was known to be current at this time; zero: never.
  Millis confirmed_at() const { return confirmed_at_; }
  // The store does not respond to this instance.
  bool unavailable() const { return unavailable_; }
  Millis unavailable_since() const { return unavailable_since_; }
  // The store is unavailable, or was until shortly before.
  bool IsRecovering(Millis now) const;
  // Until when a record that is missing now may return, because its lease may
  // have expired only while the store was unavailable; zero: it does not.
  Millis ReturnDeadline(Millis now) const;
  // The same for a record that is missing in a reader's response. The reader
  // knows better than an instance that had lost its readers and the store.
  static Millis ReturnDeadlineOf(const StoreChanges& changes, Millis now);
  // Other instances were asked whether they saw an outage.
  void OnPeersAsked() { outage_.Judge(StoreOutage::Verdict::kAsked); }
  // The LongestGap of another instance.
  void OnPeerGap(Millis longest_gap) { outage_.OnPeerGap(longest_gap); }
  const StoreOutage& outage() const { return outage_; }
  // Whether this instance may pass its view on.
  bool CanServe(Millis now) const;
  // Until when CanServe remains true without another response of the store.
  Millis ServesUntil() const { return store_confirmed_at_ + MaxReaderAge(); }
  // How long a reader holds a query without changes.
  Millis QueryTimeout() const { return intervals_.watch_pause; }

 private:
  struct ZoneMember {
    MachineId machine;
    double cpu_share = 0;
  };

  Millis MaxReaderAge() const;
  // How long the store holds a watch call of a reader.
  Millis ReaderWatchTimeout() const;
  // Whether the view is as recent as a reader's has to be.
  bool IsYoung(Millis now) const;
  // Whether the readers may be tried without the view growing too old.
  bool MayTryReaders(Millis now) const;
  bool IsReader() const;
  // Whether other instances rely on this one.
  bool IsQueried(Millis now) const;
  bool WatchesStore(Millis now) const;
  bool IsAvoided(const MachineId& machine, Millis now) const;
  // Returns the reader to query; empty if none is left.
  MachineId ChooseReader(Millis now) const;
  void ConfirmAt(Millis at);
  void OnStoreResponse(Millis now);

  const MachineId self_;
  const ZoneId zone_;
  const StoreSyncIntervals intervals_;
  std::vector<ZoneMember> members_;  // Of the zone, the readers first.
  std::map<MachineId, Millis> avoid_until_;
  bool skip_readers_ = false;  // The next call goes to the store.
  bool knows_members_ = false;
  Millis members_read_at_;
  bool has_synced_ = false;
  bool needs_full_read_ = true;
  StoreRevision revision_;
  int64_t era_ = 0;  // Not before that of `revision_`.
  Millis confirmed_at_;
  // Last confirmation by the store itself. Zero after a failed call, so that
  // followers turn elsewhere at once.
  Millis store_confirmed_at_;
  bool was_queried_ = false;
  Millis queried_at_;
  bool unavailable_ = false;
  Millis unavailable_since_;
  Millis recovered_at_;
  int consecutive_failures_ = 0;
  StoreOutage outage_;
};

}  // namespace bilberrypitch
