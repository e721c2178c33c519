// Assignment of slots.
#include "limits/slot_assignment.h"

#include <algorithm>

#include "limits/token_account.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {
namespace {

using Counts = std::map<BootId, size_t>;

Counts CountSlots(const schema::SlotTable& table,
                  const std::set<BootId>& members) {
  Counts counts;
  for (const BootId& it : members) {
    counts[it] = 0;
  }
  for (const schema::SlotOwner& it : table.slots()) {
    auto owner =
        counts.find(BootId(it.next().empty() ? it.owner() : it.next()));
    if (owner != counts.end()) {
      ++owner->second;
    }
  }
  return counts;
}

BootId Fewest(const Counts& counts) {
  auto it = std::min_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return it->first;
}

}  // namespace

std::optional<schema::SlotTable> AssignSlots(const schema::SlotTable& table,
                                             size_t slot_count,
                                             const std::set<BootId>& registered,
                                             const std::set<BootId>& leaving) {
  std::set<BootId> staying;
  std::set_difference(registered.begin(), registered.end(), leaving.begin(),
                      leaving.end(), std::inserter(staying, staying.end()));
  if (staying.empty()) {
    return std::nullopt;
  }
  schema::SlotTable wanted = table;
  while (static_cast<size_t>(wanted.slots_size()) < slot_count) {
    wanted.add_slots()->set_clean(true);
  }
  if (static_cast<size_t>(wanted.slots_size()) > slot_count) {
    int surplus = wanted.slots_size() - static_cast<int>(slot_count);
    wanted.mutable_slots()->DeleteSubrange(static_cast<int>(slot_count),
                                           surplus);
  }
  for (schema::SlotOwner& it : *wanted.mutable_slots()) {
    if (registered.count(BootId(it.next())) == 0) {
      it.clear_next();
    }
    bool dead =
        !it.owner().empty() && registered.count(BootId(it.owner())) == 0;
    if (dead) {
      it.clear_owner();
      it.set_clean(false);
    }
  }
  for (schema::SlotOwner& it : *wanted.mutable_slots()) {
    Counts counts = CountSlots(wanted, staying);
    BootId poorest = Fewest(counts);
    if (it.owner().empty()) {
      it.set_owner(poorest.str());
      it.clear_next();
      continue;
    }
    BootId owner(it.owner());
    bool is_leaving = staying.count(owner) == 0;
    bool uneven = !is_leaving && counts[owner] > counts[poorest] + 1;
    if (it.next().empty() && (is_leaving || uneven)) {
      it.set_next(poorest.str());
    }
  }
  if (wanted.SerializeAsString() == table.SerializeAsString()) {
    return std::nullopt;
  }
  return wanted;
}

std::optional<schema::SlotTable> HandOverSlot(const schema::SlotTable& table,
                                              const BootId& self, bool clean) {
  schema::SlotTable changed = table;
  for (schema::SlotOwner& it : *changed.mutable_slots()) {
    if (it.owner() == self.str() && !it.next().empty()) {
      it.set_owner(it.next());
      it.clear_next();
      it.set_clean(clean);
      return changed;
    }
  }
  return std::nullopt;
}

void SlotHolder::OnTable(const schema::SlotTable& table, Millis now) {
  std::map<int, Millis> since;
  handing_over_ = false;
  for (int i = 0; i < table.slots_size(); ++i) {
    const schema::SlotOwner& it = table.slots(i);
    if (it.owner() != self_.str()) {
      continue;
    }
    handing_over_ = handing_over_ || !it.next().empty();
    auto known = since_.find(i);
    Millis from = it.clean() ? now : now + kPartWait;
    since[i] = known == since_.end() ? from : known->second;
  }
  since_ = std::move(since);
}

size_t SlotHolder::Minting(Millis now) const {
  return static_cast<size_t>(
      std::count_if(since_.begin(), since_.end(),
                    [&](const auto& it) { return now >= it.second; }));
}

}  // namespace bilberrypitch
