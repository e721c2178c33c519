// Which versions of an upstream's software may have begun streams that callers
// can still take up, for each service.
//
// A record in the store names them. A version is added before the first stream
// begins at it, is retired when its last upstream leaves, and removed when no
// stream of it can go on any more; one that returns is added anew, so that a
// removal that was decided before does not take effect. So an instance that has
// forgotten everything, or that never knew, can tell whether a stream whose
// origin nobody remembers can only be of one version.
//
// A store that comes back from an older copy may lack the latest additions, or
// the record. Until the streams of that time are over, the record then also has
// the version that is not stated, which no stream may go on at.
//
// No I/O: the calling code writes the records and reports what it reads. Times
// are on the clock that includes suspension.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "serving/ids.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// What the store says of one service.
struct VersionRecord {
  std::set<SoftwareVersion> active;   // Streams may begin at these.
  std::set<SoftwareVersion> retired;  // Their streams may still be open.
  int64_t era = 0;         // Of the store, when the record was written.
  StoreRevision revision;  // Of the record.
};

class ServedVersions {
 public:
  // A record to write, on the condition that the key still has `revision`.
  struct Write {
    ServiceId service;
    // `record.revision` default: the key must not exist.
    VersionRecord record;
  };

  // `time_to_live`: a stream can't be taken up longer than this after it began.
  // `is_first_start`: nothing has served before, so there need be no record.
  ServedVersions(Millis time_to_live, bool is_first_start)
      : time_to_live_(time_to_live), is_first_start_(is_first_start) {}

  void SetTimeToLive(Millis time_to_live) { time_to_live_ = time_to_live; }
  // The versions of the service's upstreams that the store lists now.
  void SetLive(const ServiceId& service, std::set<SoftwareVersion> versions,
               Millis now);
  void OnRecord(const ServiceId& service, VersionRecord record, Millis now);
  void OnRecordRemoved(const ServiceId& service);
  // The store is in this era. Returns whether it is a new one.
  bool OnEra(int64_t era, Millis now);

  std::vector<ServiceId> Services() const;
  // Whether a stream may begin at the version: the record names it.
  bool MayBegin(const ServiceId& service, const SoftwareVersion& version) const;
  // The only version of which a stream of the service can be; nothing if there
  // may be several or if it isn't known.
  std::optional<SoftwareVersion> OnlyVersion(const ServiceId& service) const;
  // All versions of which a stream may be, as far as this instance knows.
  std::set<SoftwareVersion> VersionsOf(const ServiceId& service) const;
  // Whether streams of several versions may be open.
  bool IsMixed(const ServiceId& service) const;

  // Returns the next record to write. `rank` of this instance among all; those
  // of lower rank write first.
  std::optional<Write> TakeWrite(size_t rank, Millis now);
  // When to call TakeWrite again; zero: not before the next change.
  Millis NextDue(Millis now) const;

 private:
  struct State {
    std::optional<VersionRecord> record;
    bool had_record = false;
    std::set<SoftwareVersion> live;
    // When each version that may have open streams was live or active last, as
    // far as known here.
    std::map<SoftwareVersion, Millis> last_seen;
    Millis write_due;  // Zero: nothing is to be written.
  };

  // What the record should say.
  VersionRecord Needed(const State& state, Millis now) const;
  bool IsCurrent(const State& state) const;
  bool NeedsWrite(const State& state, const VersionRecord& needed) const;

  Millis time_to_live_;
  bool is_first_start_;
  int64_t era_ = 0;
  std::map<ServiceId, State> services_;
};

}  // namespace bilberrypitch
