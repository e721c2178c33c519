// The holder's side of residency.
#include "residency/residency_holder.h"

#include <algorithm>

#include "base/check.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {

void ResidencyHolder::SetMinimumEpoch(const ZoneId& zone, uint64_t epoch) {
  ZoneState& state = zones_[zone];
  state.minimum_epoch = std::max(state.minimum_epoch, epoch);
}

TableVerdict ResidencyHolder::OnTable(const schema::ResidencyTable& table) {
  ZoneId zone(table.zone());
  ZoneState& state = zones_[zone];
  if (table.epoch() < state.epoch || table.epoch() < state.minimum_epoch) {
    return TableVerdict::kStale;
  }
  if (table.epoch() == state.epoch && table.sequence() <= state.sequence) {
    return TableVerdict::kKnown;
  }
  state.epoch = table.epoch();
  state.sequence = table.sequence();
  std::set<IncarnationId> offered;
  for (const schema::Incarnation& it : table.offered()) {
    offered.insert(IncarnationId(it.name()));
    Offer(zone, it);
  }
  for (const schema::Incarnation& it : table.revoked()) {
    Revoke(IncarnationId(it.name()), &state);
  }
  if (table.collecting()) {
    return TableVerdict::kApplied;
  }
  std::vector<IncarnationId> dropped;
  for (const auto& [name, held] : held_) {
    bool listed = held.offered || held.withdrawn;
    if (held.zone == zone && listed && offered.count(name) == 0) {
      dropped.push_back(name);
    }
  }
  for (const IncarnationId& name : dropped) {
    Revoke(name, &state);
  }
  std::set<IncarnationId> still_loaded;
  for (const schema::Incarnation& it : table.revoked()) {
    still_loaded.insert(IncarnationId(it.name()));
  }
  std::erase_if(state.revoked, [&](const IncarnationId& name) {
    return still_loaded.count(name) == 0;
  });
  return TableVerdict::kApplied;
}

void ResidencyHolder::Offer(const ZoneId& zone, const schema::Incarnation& it) {
  IncarnationId name(it.name());
  BP_CHECK(zones_[zone].revoked.count(name) == 0,
           "a revoked name is never offered again");
  auto [entry, added] = held_.try_emplace(name);
  Held& held = entry->second;
  if (!added) {
    return;  // Known; one that was withdrawn here stays so.
  }
  held.upstream = UpstreamId(it.upstream());
  held.ref = {AdapterId(it.adapter()), it.version()};
  held.zone = zone;
  held.offered = true;
  by_ref_[held.ref].push_back(name);
}

void ResidencyHolder::Unindex(const IncarnationId& name, const Held& held) {
  auto it = by_ref_.find(held.ref);
  if (it == by_ref_.end()) {
    return;
  }
  std::erase(it->second, name);
  if (it->second.empty()) {
    by_ref_.erase(it);
  }
}

void ResidencyHolder::Revoke(const IncarnationId& name, ZoneState* state) {
  state->revoked.insert(name);
  auto it = held_.find(name);
  if (it == held_.end()) {
    return;
  }
  it->second.offered = false;
  it->second.withdrawn = false;
  Unindex(name, it->second);
  if (it->second.in_flight == 0) {
    held_.erase(it);
  }
}

std::vector<ResidencyCandidate> ResidencyHolder::Candidates(
    const AdapterVersionRef& ref) const {
  std::vector<ResidencyCandidate> candidates;
  auto names = by_ref_.find(ref);
  if (names == by_ref_.end()) {
    return candidates;
  }
  for (const IncarnationId& name : names->second) {
    const Held& held = held_.at(name);
    candidates.push_back({name, held.upstream, held.zone});
  }
  return candidates;
}

bool ResidencyHolder::Begin(const IncarnationId& name) {
  auto it = held_.find(name);
  if (closed_ || it == held_.end() || !it->second.offered) {
    return false;
  }
  ++it->second.in_flight;
  it->second.used = true;
  return true;
}

void ResidencyHolder::End(const IncarnationId& name) {
  auto it = held_.find(name);
  BP_CHECK(it != held_.end() && it->second.in_flight > 0,
           "every End has its Begin");
  Held& held = it->second;
  --held.in_flight;
  if (held.in_flight == 0 && !held.offered && !held.withdrawn) {
    held_.erase(it);
  }
}

void ResidencyHolder::Withdraw(const IncarnationId& name) {
  auto it = held_.find(name);
  if (it != held_.end() && it->second.offered) {
    it->second.offered = false;
    it->second.withdrawn = true;
    Unindex(name, it->second);
  }
}

schema::ResidencyReport ResidencyHolder::MakeReport(const ZoneId& zone) {
  const ZoneState& state = zones_[zone];
  schema::ResidencyReport report;
  report.set_zone(zone.str());
  report.set_epoch(state.epoch);
  report.set_sequence(state.sequence);
  report.set_closed(closed_);
  for (auto& [name, held] : held_) {
    if (held.zone != zone) {
      continue;
    }
    if (held.in_flight > 0) {
      report.add_busy(name.str());
    }
    if (held.used) {
      report.add_used(name.str());
      held.used = false;
    }
    if (held.offered) {
      schema::Incarnation* it = report.add_held();
      it->set_name(name.str());
      it->set_upstream(held.upstream.str());
      it->set_adapter(held.ref.adapter.str());
      it->set_version(held.ref.version);
    }
  }
  for (const IncarnationId& name : state.revoked) {
    report.add_revoked(name.str());
  }
  return report;
}

std::vector<ZoneId> ResidencyHolder::zones() const {
  std::vector<ZoneId> zones;
  for (const auto& [zone, state] : zones_) {
    zones.push_back(zone);
  }
  return zones;
}

uint64_t ResidencyHolder::epoch(const ZoneId& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? 0 : it->second.epoch;
}

}  // namespace bilberrypitch
