// The holder's side of residency in the process: tables in, reports and demand
// out. The state is sharded by zone, each shard under its own lock.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "node/node_context.h"
#include "residency/residency_holder.h"

namespace bilberrypitch {

class FleetService;

namespace schema {
class Envelope;
}

// A zone that has a leader.
struct LedZone {
  ZoneId id;
  uint32_t queued_loads = 0;
};

// Thread-safe.
class ResidencyService {
 public:
  ResidencyService(const NodeContext& context, FleetService* fleet);

  void Tick(Millis now);
  void OnTable(const schema::Envelope& envelope, Millis now);

  std::vector<ResidencyCandidate> Candidates(
      const AdapterVersionRef& ref) const;
  // Also false while this instance's registration is not confirmed.
  bool Begin(const ResidencyCandidate& candidate, Millis now);
  void End(const ResidencyCandidate& candidate);
  // The connection was given up while the upstream may still run the request:
  // it counts as in flight until `at`.
  void EndAt(const ResidencyCandidate& candidate, Millis at);
  void Withdraw(const ResidencyCandidate& candidate);
  // Begins nothing more; reports go on until nothing is in flight.
  void Close();

  // Where to tell a zone's leader of demand; empty when none is known.
  std::string LeaderAddress(const ZoneId& zone, Millis now) const;
  // Zones whose leader spoke lately, and how many loads wait there.
  std::vector<LedZone> LedZones(Millis now) const;
  // The epochs in the store were read; tables may be applied.
  bool ready() const;

 private:
  static constexpr size_t kShards = 8;
  struct Shard {
    mutable std::mutex lock;  // Guards the holder.
    ResidencyHolder holder;
  };
  struct LeaderSeen {
    BootId boot;
    Millis at;
    uint32_t queued_loads = 0;
  };

  Shard& ShardOf(const ZoneId& zone);
  const Shard& ShardOf(const ZoneId& zone) const;
  void Report(const ZoneId& zone, const BootId& leader);
  void ReadEpochs();
  void EndDue(Millis now);

  const NodeContext context_;
  FleetService* const fleet_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex lock_;  // Guards all below.
  std::map<ZoneId, LeaderSeen> leaders_;
  bool ready_ = false;
  bool reading_ = false;
  std::multimap<Millis, ResidencyCandidate> ending_;  // By time.
  Millis next_report_;
  Millis next_epochs_;
};

}  // namespace bilberrypitch
