// Decides when an instance writes the configuration in force into the store.
//
// A store that comes back from an older copy may have an older configuration
// than the instances. Until the operator writes again, they keep theirs, and
// one of them writes it under a key of their own, so that an instance that
// missed it, or starts, doesn't bring back what it revoked. The highest version
// counts, wherever it stands. Once the operator's is as high, the record of the
// instances is removed.
//
// No I/O: the calling code reports versions and makes the writes.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/strong.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// Not thread-safe. Versions start above 0; 0 means none.
class ConfigKeeper {
 public:
  enum class Action : uint8_t { kNone, kWrite, kRemove };

  void OnVersionInForce(int64_t version) { in_force_ = version; }
  // The operator's configuration in the store has this version.
  void OnStoreVersion(int64_t version) { store_version_ = version; }
  // The record of the instances has this version.
  void OnKept(int64_t version, StoreRevision revision);
  void OnKeptRemoved();

  // Whether the store lacks the configuration in force.
  bool IsAhead() const;
  // Returns what to do now. `rank`: how many instances act before this one,
  // each after some time, so that one acts for all.
  Action TakeAction(size_t rank, Millis now);
  // Returns when TakeAction has to be called again; zero: not before the next
  // report.
  Millis NextDue() const { return due_; }
  // The revision that a write or removal expects; the default: no record.
  StoreRevision kept_revision() const { return kept_revision_; }

 private:
  Action Needed() const;

  int64_t in_force_ = 0;
  int64_t store_version_ = 0;
  int64_t kept_version_ = 0;
  StoreRevision kept_revision_;
  Millis due_;  // Zero: nothing is needed.
};

}  // namespace bilberrypitch
