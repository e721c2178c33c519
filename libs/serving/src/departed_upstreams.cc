// Departures by upstream and start, and the entries that are doubted.
#include "serving/departed_upstreams.h"

namespace bilberrypitch {
namespace {

// A copy is some seconds old.
constexpr Millis kRememberedFor{60 * 1000};
// The store removes the entry of a silent upstream within a few seconds.
constexpr Millis kDoubtTime{5000};

}  // namespace

void DepartedUpstreams::OnDeparted(const UpstreamEntry& entry, Millis now) {
  std::erase_if(departures_, [now](const auto& item) {
    return now - item.second.at > kRememberedFor;
  });
  auto [it, is_new] = departures_.try_emplace(entry.id);
  Departure& departure = it->second;
  if (is_new || entry.started_ms >= departure.started_ms) {
    departure.started_ms = entry.started_ms;
    departure.draining = entry.draining;
  }
  departure.at = now;
}

bool DepartedUpstreams::OnEntryOfCopy(const UpstreamEntry& entry, Millis now,
                                      const UpstreamEntry* living) {
  doubted_.erase(entry.id);
  if (living != nullptr && entry.started_ms < living->started_ms) {
    return true;
  }
  auto it = departures_.find(entry.id);
  if (it == departures_.end() || now - it->second.at > kRememberedFor ||
      entry.started_ms > it->second.started_ms) {
    return false;
  }
  const Departure& departure = it->second;
  if (entry.draining && entry.started_ms == departure.started_ms) {
    return false;
  }
  if (!departure.draining) {
    doubted_[entry.id] = {entry, now + kDoubtTime};
  }
  return true;
}

std::vector<UpstreamEntry> DepartedUpstreams::TakeTrusted(Millis now) {
  std::vector<UpstreamEntry> trusted;
  std::erase_if(doubted_, [&](const auto& item) {
    bool due = now >= item.second.due;
    if (due) {
      trusted.push_back(item.second.entry);
    }
    return due;
  });
  return trusted;
}

Millis DepartedUpstreams::NextDue() const {
  Millis next;
  for (const auto& [id, doubt] : doubted_) {
    next = next == Millis(0) || doubt.due < next ? doubt.due : next;
  }
  return next;
}

}  // namespace bilberrypitch
