// Tokens of all workspaces at this instance: slots from the store, tokens
// moved between peers. Accounts are sharded by workspace, each shard under its
// own lock.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "limits/slot_assignment.h"
#include "limits/token_account.h"
#include "node/node_context.h"

namespace bilberrypitch {

class FleetService;
struct StoreReadResult;

namespace schema {
class Envelope;
class SlotTable;
}  // namespace schema

// Thread-safe.
class LimitService {
 public:
  LimitService(const NodeContext& context, FleetService* fleet);

  // `leads`: this instance leads its zone and keeps the slot table.
  void Tick(Millis now, bool leads);
  void OnTransfer(const schema::Envelope& envelope, Millis now);
  // A peer's clock, as its heartbeat gave it.
  void OnPeerClock(const BootId& boot, Millis clock);

  // Reserves tokens for one request; false when there are not enough now.
  bool Reserve(const WorkspaceId& workspace, double tokens, Millis now);
  void Refund(const WorkspaceId& workspace, double tokens, Millis now);
  // What the requests that wait here for tokens need in all.
  void SetWanted(const WorkspaceId& workspace, double tokens);
  // Hands over what it owns; true when no slot is left.
  bool HandOver();
  size_t slots(Millis now) const;
  double Tokens(const WorkspaceId& workspace, Millis now);

 private:
  static constexpr size_t kShards = 8;
  struct Shard {
    std::mutex lock;  // Guards the accounts.
    std::map<WorkspaceId, TokenAccount> accounts;
  };

  Shard& ShardOf(const WorkspaceId& workspace);
  void ReadSlots(Millis now, bool leads);
  void OnSlots(const StoreReadResult& result, bool leads);
  void WriteSlots(const schema::SlotTable& table, int64_t revision);
  void UpdateParts(Millis now);
  void SendTransfers(Millis now);
  double MostMovedOut();
  std::string SlotKey() const;

  const NodeContext context_;
  FleetService* const fleet_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex lock_;  // Guards all below.
  SlotHolder holder_;
  std::set<BootId> known_boots_;  // Registered, as last seen.
  std::map<BootId, Millis> clocks_;
  bool reading_ = false;
  bool leaving_ = false;
  Millis next_read_;
  Millis next_transfer_;
  Millis next_update_;
};

}  // namespace bilberrypitch
