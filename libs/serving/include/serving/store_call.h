// The calls that keep an instance's view of the store current, and what a
// reader responds.
#pragma once

#include <cstdint>
#include <vector>

#include "serving/ids.h"
#include "serving/store_item.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

// Intervals of the calls. Both bound the age of the view of the store.
struct StoreSyncIntervals {
  // How long the store holds a watch call without changes.
  Millis watch_timeout;
  // Between a watch that returned changes and the next one.
  Millis watch_pause;
};

enum class StoreCallKind : uint8_t {
  kReadZoneMembers,  // The records of the members of this instance's zone.
  kReadAll,
  kWatch,
  kQueryReader,
};

// The next call to make. All but kQueryReader go to the store.
struct StoreCall {
  StoreCallKind kind = StoreCallKind::kWatch;
  MachineId reader;  // Only of kQueryReader.
  // Watch and query: asks for changes after this revision; the default: for all
  // records.
  StoreRevision revision;
  Millis timeout;  // Watch and query: how long it is held without changes.
};

// A reader's response: changes after the revision that was asked for.
struct StoreChanges {
  std::vector<StoreItem> items;
  StoreRevision revision;  // The reader's view contains all changes up to here.
  // When the reader's view was known to be current, counted from the arrival of
  // the query. Positive if the reader heard from the store while it held the
  // query.
  Millis confirmed_after_arrival;
  // `items` are all records; keys that are not among them do not exist.
  bool complete = false;
  // For how long a record that is missing may still return, because the store
  // was unavailable until shortly before; zero: it does not.
  Millis returns_for;
};

}  // namespace bilberrypitch
