// Shares crashes of prompt parts with the other instances, and keeps the
// quarantined parts in the store, so that they last while instances restart.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "serving/part_crash_tracker.h"
#include "serving/store_revision.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class PeerMessenger;
struct StoreItem;
namespace schema {
class PartAccusation;
class PartBegun;
class PartCrashNotice;
}  // namespace schema

// The pointers passed to the constructor must outlive the service. Must be used
// on the event loop's thread only.
class PartCrashService {
 public:
  // Calls `done` with whether the upstream still runs as it was started at
  // `started_ms`; not at all if it can't be asked. `done` may be called after
  // the upstream was removed, but not before the return.
  using AliveCheck =
      std::function<void(const CrashId& id, std::function<void(bool)> done)>;

  PartCrashService(EventLoop* loop, const MachineId& self,
                   PartCrashTracker* tracker, ClusterStore* store,
                   PeerMessenger* peers, AliveCheck check_alive);

  // A connection to an upstream broke before the response began.
  void OnConnectionBroken(const PartCrash& suspicion);
  // The upstream can't be reached, was removed or has restarted.
  void OnUpstreamDown(const UpstreamId& upstream);
  // A response to a request with these parts has begun.
  void OnResponseBegun(const std::vector<PartId>& parts);

  // From another instance.
  void OnCrashNotice(const schema::PartCrashNotice& notice);
  void OnAccusation(const MachineId& from,
                    const schema::PartAccusation& accusation);
  void OnPartBegun(const schema::PartBegun& begun);

  // A record of the store; other records are ignored.
  void OnStoreItem(const StoreItem& item);
  // All existing records have been passed to OnStoreItem; `keys` are theirs.
  // In a new era, the store has lost the missing ones: they are written again.
  void OnFullRead(const std::set<std::string>& keys, int64_t era);

 private:
  void AccuseParts();
  // Declares those whose time for objections has passed.
  void JudgeAccused();
  void Declare(PartId part);
  // Writes the missing records, and repeats that until they exist.
  void WriteRecords();
  void WriteRecord(PartId part, int64_t lease);
  // Writes those of `parts` again for which this instance is responsible.
  void WriteAgain(const std::vector<PartId>& parts);
  // Deletes the records of a copy whose quarantines have ended since.
  void DeleteReturned();
  // Whether this instance is the one of those that know that writes.
  bool IsFirstMember() const;
  // The part has proved sound.
  void ForgetQuarantine(PartId part);
  void RememberEnded(PartId part);
  void SendAccusation(PartId part, bool quarantined);
  // An objection to the accusation by `to`.
  void SendObjection(const MachineId& to, PartId part, Millis age);
  // Ends the quarantine at all instances.
  void EndQuarantineEverywhere(PartId part);

  const MachineId self_;
  PartCrashTracker* const tracker_;
  ClusterStore* const store_;
  PeerMessenger* const peers_;
  const AliveCheck check_alive_;
  std::map<PartId, Millis> accused_;  // With the end of time for objections.
  std::set<PartId> declared_;         // Quarantined by this instance.
  std::set<PartId> unrecorded_;       // Declared here, without a record yet.
  std::set<PartId> recorded_;         // Quarantined by a record of the store.
  // Quarantines that have ended, as a copy of the store may bring them back.
  std::map<PartId, Millis> ended_;  // With the time of the end.
  // Records that the first read of an era has brought back, with their
  // revisions.
  std::map<PartId, StoreRevision> returned_;
  int64_t era_ = 0;  // Of the last full read.
  Timer accusation_timer_;
  Timer record_timer_;
};

}  // namespace bilberrypitch
