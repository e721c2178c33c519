// Leads this instance's zone when it is the one to do so: takes the epoch in
// the store, sends orders to the zone's engines, reads what they have loaded,
// and assigns the slots of the rates.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "node/node_context.h"
#include "residency/zone_leader.h"

namespace bilberrypitch {

class FleetService;
class UpstreamTable;

namespace schema {
class Envelope;
}

// Key prefix of the leaders' records in the store; the zone's name follows.
inline constexpr char kLeaderPrefix[] = "/bilberrypitch/leaders/";

// Thread-safe.
class LeaderService {
 public:
  LeaderService(const NodeContext& context, FleetService* fleet,
                UpstreamTable* upstreams);

  void Tick(Millis now);
  void OnReport(const schema::Envelope& envelope, Millis now);
  void OnDemand(const schema::Envelope& envelope, Millis now);
  // A table of a higher epoch of the own zone was seen.
  void OnOtherLeader(uint64_t epoch);

  // Ends the leadership. True when all orders have ended and the record in
  // the store says so, or when this instance does not lead.
  bool Resign();
  bool leads() const;
  uint64_t epoch() const;
  LeaderCounters counters() const;

 private:
  void ConsiderLeading(Millis now);
  void Take(uint64_t epoch, int64_t mod_revision, bool resigned);
  void BecomeLeader(uint64_t epoch, bool resigned, Millis begun);
  void CheckRecord();
  void UpdateEngines(Millis now);
  void PollEngines(Millis now);
  void ReadListing(const UpstreamId& upstream, const std::string& address,
                   Millis now);
  void SendOrder(const Order& order);
  void SendTable(Millis now);

  const NodeContext context_;
  FleetService* const fleet_;
  UpstreamTable* const upstreams_;
  const Millis started_;
  mutable std::mutex lock_;  // Guards all below.
  std::unique_ptr<ZoneLeader> leader_;
  bool taking_ = false;
  bool resigned_ = false;
  bool leaving_ = false;
  int64_t record_revision_ = 0;
  Millis next_consider_;
  Millis next_poll_;
  Millis next_table_;
  Millis next_check_;
  uint64_t sent_sequence_ = 0;
};

}  // namespace bilberrypitch
