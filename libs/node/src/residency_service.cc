// Tables, reports and demand.
#include "node/residency_service.h"

#include "base/hash.h"
#include "base/log.h"
#include "node/fleet_service.h"
#include "node/leader_service.h"
#include "schema/peer.pb.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kReportPeriod{200};
constexpr Millis kEpochsRetry{500};
constexpr Millis kLeaderTimeout{3000};

}  // namespace

ResidencyService::ResidencyService(const NodeContext& context,
                                   FleetService* fleet)
    : context_(context), fleet_(fleet) {}

ResidencyService::Shard& ResidencyService::ShardOf(const ZoneId& zone) {
  return shards_[StableHash(zone.str()) % kShards];
}

const ResidencyService::Shard& ResidencyService::ShardOf(
    const ZoneId& zone) const {
  return shards_[StableHash(zone.str()) % kShards];
}

bool ResidencyService::ready() const {
  std::lock_guard lock(lock_);
  return ready_;
}

// The epochs are read once, after this instance was registered: a leader that
// took a later epoch has read the registration.
void ResidencyService::ReadEpochs() {
  context_.store->ReadPrefix(kLeaderPrefix, [this](StoreReadResult result) {
    if (result.status == StoreStatus::kOk) {
      for (const StoreEntry& entry : result.entries) {
        schema::ZoneLeadership it;
        ZoneId zone(entry.key.substr(sizeof(kLeaderPrefix) - 1));
        if (it.ParseFromString(entry.value)) {
          Shard& shard = ShardOf(zone);
          std::lock_guard lock(shard.lock);
          shard.holder.SetMinimumEpoch(zone, it.epoch());
        }
      }
    }
    std::lock_guard lock(lock_);
    reading_ = false;
    ready_ = ready_ || result.status == StoreStatus::kOk;
  });
}

void ResidencyService::EndAt(const ResidencyCandidate& candidate, Millis at) {
  std::lock_guard lock(lock_);
  ending_.emplace(at, candidate);
}

void ResidencyService::EndDue(Millis now) {
  std::vector<ResidencyCandidate> due;
  {
    std::lock_guard lock(lock_);
    while (!ending_.empty() && ending_.begin()->first <= now) {
      due.push_back(std::move(ending_.begin()->second));
      ending_.erase(ending_.begin());
    }
  }
  for (const ResidencyCandidate& it : due) {
    End(it);
  }
}

void ResidencyService::Tick(Millis now) {
  EndDue(now);
  bool registered = fleet_->registered();
  std::vector<std::pair<ZoneId, BootId>> reports;
  bool read = false;
  {
    std::lock_guard lock(lock_);
    read = registered && !ready_ && !reading_ && now >= next_epochs_;
    if (read) {
      reading_ = true;
      next_epochs_ = now + kEpochsRetry;
    }
    if (now >= next_report_) {
      next_report_ = now + kReportPeriod;
      for (const auto& [zone, leader] : leaders_) {
        reports.emplace_back(zone, leader.boot);
      }
    }
  }
  if (read) ReadEpochs();
  for (const auto& [zone, boot] : reports) {
    Report(zone, boot);
  }
}

void ResidencyService::OnTable(const schema::Envelope& envelope, Millis now) {
  if (!ready()) {
    return;
  }
  const schema::ResidencyTable& table = envelope.residency_table();
  ZoneId zone(table.zone());
  BootId leader(envelope.from_boot());
  TableVerdict verdict;
  {
    Shard& shard = ShardOf(zone);
    std::lock_guard lock(shard.lock);
    verdict = shard.holder.OnTable(table);
  }
  if (verdict == TableVerdict::kStale) {
    LogInfo("residency", "Refused the table of a replaced leader of zone {}.",
            zone.str());
    return;
  }
  {
    std::lock_guard lock(lock_);
    leaders_[zone] = {leader, now, table.queued_loads()};
  }
  if (verdict == TableVerdict::kApplied) {
    Report(zone, leader);
  }
}

void ResidencyService::Report(const ZoneId& zone, const BootId& leader) {
  std::string address = fleet_->AddressOf(leader);
  if (address.empty()) {
    return;
  }
  schema::Envelope envelope;
  {
    Shard& shard = ShardOf(zone);
    std::lock_guard lock(shard.lock);
    *envelope.mutable_residency_report() = shard.holder.MakeReport(zone);
  }
  context_.send(address, std::move(envelope));
}

std::vector<ResidencyCandidate> ResidencyService::Candidates(
    const AdapterVersionRef& ref) const {
  std::vector<ResidencyCandidate> all;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.lock);
    for (ResidencyCandidate& it : shard.holder.Candidates(ref)) {
      all.push_back(std::move(it));
    }
  }
  return all;
}

bool ResidencyService::Begin(const ResidencyCandidate& candidate, Millis now) {
  if (!fleet_->Confirmed(now)) {
    return false;
  }
  Shard& shard = ShardOf(candidate.zone);
  std::lock_guard lock(shard.lock);
  return shard.holder.Begin(candidate.name);
}

void ResidencyService::End(const ResidencyCandidate& candidate) {
  Shard& shard = ShardOf(candidate.zone);
  std::lock_guard lock(shard.lock);
  shard.holder.End(candidate.name);
}

void ResidencyService::Withdraw(const ResidencyCandidate& candidate) {
  Shard& shard = ShardOf(candidate.zone);
  std::lock_guard lock(shard.lock);
  shard.holder.Withdraw(candidate.name);
}

void ResidencyService::Close() {
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.lock);
    shard.holder.Close();
  }
}

std::string ResidencyService::LeaderAddress(const ZoneId& zone,
                                            Millis now) const {
  BootId boot;
  {
    std::lock_guard lock(lock_);
    auto it = leaders_.find(zone);
    if (it == leaders_.end() || now - it->second.at > kLeaderTimeout) {
      return "";
    }
    boot = it->second.boot;
  }
  return fleet_->AddressOf(boot);
}

std::vector<LedZone> ResidencyService::LedZones(Millis now) const {
  std::lock_guard lock(lock_);
  std::vector<LedZone> zones;
  for (const auto& [zone, leader] : leaders_) {
    if (now - leader.at <= kLeaderTimeout) {
      zones.push_back({zone, leader.queued_loads});
    }
  }
  return zones;
}

}  // namespace bilberrypitch
