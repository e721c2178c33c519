// Demand of this instance.
#include "node/demand_sender.h"

#include <algorithm>
#include <set>
#include <string>

#include "config/catalog.h"
#include "config/settings.h"
#include "membership/rendezvous.h"
#include "node/residency_service.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {
namespace {

constexpr Millis kSendPeriod{100};
// Waiting so long for the home zone makes the own zone load too.
constexpr Millis kOwnZoneAfter{5000};

}  // namespace

DemandSender::DemandSender(const NodeContext& context,
                           ResidencyService* residency,
                           UpstreamTable* upstreams)
    : context_(context),
      residency_(residency),
      upstreams_(upstreams),
      own_zone_only_(context.settings->policy() == kBaselinePolicy) {}

void DemandSender::OnArrival(const AdapterVersionRef& ref) {
  std::lock_guard lock(lock_);
  arrivals_[ref] += 1;
}

// The home of a cold adapter is one of its first two zones by rendezvous
// hashing: the one where fewer loads wait.
ZoneId DemandSender::HomeZone(const WaitingForAdapter& waiting,
                              const std::vector<LedZone>& led,
                              const Catalog& catalog) {
  if (own_zone_only_) {
    return context_.zone;
  }
  std::vector<std::string> zones;
  std::map<ZoneId, uint32_t> queued;
  for (const LedZone& zone : led) {
    bool has_pool =
        std::any_of(catalog.upstreams().begin(), catalog.upstreams().end(),
                    [&](const UpstreamEntry& it) {
                      return it.zone == zone.id && it.pool == waiting.pool &&
                             !upstreams_->IsLeaving(it);
                    });
    if (has_pool) {
      zones.push_back(zone.id.str());
      queued[zone.id] = zone.queued_loads;
    }
  }
  if (zones.empty()) {
    return context_.zone;
  }
  auto kept = homes_.find(waiting.ref);
  if (kept != homes_.end() && queued.count(kept->second) != 0) {
    return kept->second;
  }
  const std::string& key = waiting.ref.adapter.str();
  size_t place = PickByRendezvous(key, zones);
  ZoneId first(zones[place]);
  ZoneId home = first;
  zones.erase(zones.begin() + static_cast<long>(place));
  if (!zones.empty()) {
    ZoneId second(zones[PickByRendezvous(key, zones)]);
    home = queued[second] + 1 < queued[first] ? second : first;
  }
  homes_[waiting.ref] = home;
  return home;
}

void DemandSender::Send(const std::vector<WaitingForAdapter>& waiting,
                        Millis now) {
  double seconds = (now - next_send_ + kSendPeriod).seconds();
  next_send_ = now + kSendPeriod;
  std::map<AdapterVersionRef, double> arrivals;
  {
    std::lock_guard lock(lock_);
    arrivals.swap(arrivals_);
  }
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  std::vector<LedZone> led = residency_->LedZones(now);
  if (catalog == nullptr || led.empty()) {
    return;
  }
  std::map<ZoneId, schema::Demand> demands;
  std::map<AdapterVersionRef, ZoneId> kept;
  for (const WaitingForAdapter& it : waiting) {
    ZoneId home = HomeZone(it, led, *catalog);
    kept[it.ref] = home;
    std::set<ZoneId> zones = {home};
    if (now - it.oldest >= kOwnZoneAfter) zones.insert(context_.zone);
    for (const ZoneId& zone : zones) {
      schema::DemandEntry* entry = demands[zone].add_entries();
      entry->set_adapter(it.ref.adapter.str());
      entry->set_version(it.ref.version);
      entry->set_waiting(it.count);
      entry->set_oldest_wait_ms(
          static_cast<uint32_t>((now - it.oldest).count()));
      auto arrived = arrivals.find(it.ref);
      if (arrived != arrivals.end()) {
        entry->set_requests_per_s(arrived->second / seconds);
      }
    }
  }
  homes_ = std::move(kept);
  for (auto& [zone, demand] : demands) {
    std::string address = residency_->LeaderAddress(zone, now);
    if (address.empty()) {
      continue;
    }
    demand.set_zone(zone.str());
    schema::Envelope envelope;
    *envelope.mutable_demand() = std::move(demand);
    context_.send(address, std::move(envelope));
  }
}

}  // namespace bilberrypitch
