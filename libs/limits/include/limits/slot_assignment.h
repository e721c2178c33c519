// Which instance owns which part ("slot") of its zone's share of the rates.
//
// The table stands in the platform's store and changes by compare-and-swap. A
// slot leaves its owner only when the owner hands it over, or when the owner's
// registration was removed, after which it can't be confirmed. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

namespace schema {
class SlotTable;
}

// The table that the zone's leader should write, or none when it stands right.
std::optional<schema::SlotTable> AssignSlots(const schema::SlotTable& table,
                                             size_t slot_count,
                                             const std::set<BootId>& registered,
                                             const std::set<BootId>& leaving);

// The table with one slot handed over to its `next`, or none when `self` has
// none to hand over. `clean`: none of its tokens are with others.
std::optional<schema::SlotTable> HandOverSlot(const schema::SlotTable& table,
                                              const BootId& self, bool clean);

// Follows which slots this instance may mint for.
class SlotHolder {
 public:
  explicit SlotHolder(BootId self) : self_(std::move(self)) {}

  void OnTable(const schema::SlotTable& table, Millis now);
  // Slots that mint now: owned, and past the wait after an unclean owner.
  size_t Minting(Millis now) const;
  size_t owned() const { return since_.size(); }
  // A slot of this instance waits to be handed over: no more tokens may be
  // moved out, so that those that are out come back.
  bool handing_over() const { return handing_over_; }

 private:
  const BootId self_;
  bool handing_over_ = false;
  std::map<int, Millis> since_;  // Slot and the time from which it mints.
};

}  // namespace bilberrypitch
