// Remembers which upstreams are known to have left, for a store that comes back
// from an older copy.
//
// The copy may still name an upstream that has drained or was removed since, or
// an earlier start of one. Such an entry is doubted: it is not used until the
// upstream writes it again, or until it has stood for longer than the entry of
// a silent upstream does.
//
// No I/O: the calling code reports departures and the entries of the copy.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "serving/ids.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

// Not thread-safe.
class DepartedUpstreams {
 public:
  // This start of the upstream is draining or was removed.
  void OnDeparted(const UpstreamEntry& entry, Millis now);
  // The copy has this entry. `living`: the latest entry of the upstream, unless
  // it was removed; null: none. Returns whether the copy's entry is doubted.
  bool OnEntryOfCopy(const UpstreamEntry& entry, Millis now,
                     const UpstreamEntry* living = nullptr);
  // The entry was written or removed in the store's present era, so it is no
  // longer doubted.
  void OnEntryChanged(const UpstreamId& id) { doubted_.erase(id); }

  // Returns the doubted entries that have stood for long enough. Those of
  // upstreams that were draining are not among them: no upstream leaves off
  // draining before it starts again. Nor are those of starts before a living
  // one.
  std::vector<UpstreamEntry> TakeTrusted(Millis now);
  // Returns when TakeTrusted has to be called; zero: no entry is doubted.
  Millis NextDue() const;

 private:
  struct Departure {
    int64_t started_ms = 0;  // The latest start that departed.
    bool draining = false;   // The latest that is known of the start.
    Millis at;
  };
  struct Doubt {
    UpstreamEntry entry;
    Millis due;
  };

  std::map<UpstreamId, Departure> departures_;
  std::map<UpstreamId, Doubt> doubted_;
};

}  // namespace bilberrypitch
