// Limits in the process.
#include "node/limit_service.h"

#include <algorithm>

#include "base/hash.h"
#include "config/catalog.h"
#include "config/settings.h"
#include "membership/pause_detector.h"
#include "node/fleet_service.h"
#include "node/metrics.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

constexpr Millis kReadPeriod{1000};
constexpr Millis kTransferPeriod{40};
constexpr Millis kUpdatePeriod{200};
constexpr double kLeastMove = 1.0;

}  // namespace

LimitService::LimitService(const NodeContext& context, FleetService* fleet)
    : context_(context), fleet_(fleet), holder_(context.boot) {}

LimitService::Shard& LimitService::ShardOf(const WorkspaceId& workspace) {
  return shards_[StableHash(workspace.str()) % kShards];
}

std::string LimitService::SlotKey() const {
  return "/bilberrypitch/slots/" + context_.zone.str();
}

void LimitService::Tick(Millis now, bool leads) {
  bool read = false;
  bool transfer = false;
  bool update = false;
  {
    std::lock_guard lock(lock_);
    read = now >= next_read_ && !reading_;
    transfer = now >= next_transfer_;
    update = now >= next_update_;
    if (read) {
      next_read_ = now + kReadPeriod;
      reading_ = true;
    }
    if (transfer) next_transfer_ = now + kTransferPeriod;
    if (update) next_update_ = now + kUpdatePeriod;
  }
  if (read) ReadSlots(now, leads);
  if (update) UpdateParts(now);
  if (transfer) SendTransfers(now);
}

void LimitService::ReadSlots(Millis now, bool leads) {
  (void)now;
  context_.store->Read(SlotKey(), [this, leads](StoreReadResult result) {
    {
      std::lock_guard lock(lock_);
      reading_ = false;
    }
    if (result.status == StoreStatus::kOk) {
      OnSlots(result, leads);
    }
  });
}

void LimitService::OnSlots(const StoreReadResult& result, bool leads) {
  schema::SlotTable table;
  int64_t revision = 0;
  if (!result.entries.empty()) {
    table.ParseFromString(result.entries[0].value);
    revision = result.entries[0].mod_revision;
  }
  Millis now = BootTimeNow();
  bool leaving = false;
  {
    std::lock_guard lock(lock_);
    holder_.OnTable(table, now);
    leaving = leaving_;
  }
  double moved_out = MostMovedOut();
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  bool debts_covered = moved_out < 1e-6;
  if (debts_covered || leaving) {
    if (auto handed = HandOverSlot(table, context_.boot, debts_covered)) {
      WriteSlots(*handed, revision);
      return;
    }
  }
  std::set<BootId> registered;
  if (!leads || catalog == nullptr || !fleet_->RegisteredBoots(&registered)) {
    return;
  }
  std::set<BootId> zone_boots;
  std::set<BootId> going;
  for (const BootId& it : fleet_->ZoneBoots()) {
    zone_boots.insert(it);
  }
  for (const Member& it : fleet_->Peers()) {
    if (it.leaving) going.insert(it.boot);
  }
  if (leaving) going.insert(context_.boot);
  size_t slots = 0;
  for (const ZoneEntry& it : catalog->fleet().zones) {
    if (it.id == context_.zone) slots = it.slots;
  }
  if (auto wanted = AssignSlots(table, slots, zone_boots, going)) {
    WriteSlots(*wanted, revision);
  }
}

void LimitService::WriteSlots(const schema::SlotTable& table,
                              int64_t revision) {
  StoreTransaction transaction;
  transaction.conditions.push_back({SlotKey(), revision});
  transaction.writes.push_back(
      {SlotKey(), table.SerializeAsString(), false, 0});
  context_.store->Commit(transaction, [this](StoreStatus) {
    std::lock_guard lock(lock_);
    next_read_ = Millis();
  });
}

double LimitService::MostMovedOut() {
  double most = 0;
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.lock);
    for (const auto& [workspace, account] : shard.accounts) {
      most = std::max(most, account.MovedOut());
    }
  }
  return most;
}

size_t LimitService::slots(Millis now) const {
  std::lock_guard lock(lock_);
  return holder_.Minting(now);
}

// Shares of the rates: this instance's slots among all zones' slots. Nothing
// mints while the registration is not confirmed.
void LimitService::UpdateParts(Millis now) {
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  if (catalog == nullptr) {
    return;
  }
  size_t total = 0;
  for (const ZoneEntry& it : catalog->fleet().zones) {
    total += it.slots;
  }
  bool usable = fleet_->Confirmed(now) && fleet_->Trusted() && total > 0;
  double share =
      usable ? static_cast<double>(slots(now)) / static_cast<double>(total) : 0;
  std::set<BootId> registered;
  std::vector<BootId> gone;
  if (fleet_->RegisteredBoots(&registered)) {
    std::lock_guard lock(lock_);
    std::set_difference(known_boots_.begin(), known_boots_.end(),
                        registered.begin(), registered.end(),
                        std::back_inserter(gone));
    known_boots_ = registered;
  }
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.lock);
    std::erase_if(shard.accounts, [&](const auto& it) {
      return catalog->FindWorkspace(it.first) == nullptr;
    });
    for (auto& [id, account] : shard.accounts) {
      for (const BootId& it : gone) account.OnPeerGone(it);
    }
  }
  for (const auto& [id, workspace] : catalog->workspaces()) {
    Shard& shard = ShardOf(id);
    std::lock_guard lock(shard.lock);
    TokenAccount& account = shard.accounts[id];
    // Without confirmation the part is kept but nothing of it is used.
    if (usable || account.MovedOut() == 0) {
      account.SetPart(workspace.rate_tokens_per_s * share,
                      workspace.burst_tokens * share, now);
    }
    account.Tick(now);
  }
}

void LimitService::OnPeerClock(const BootId& boot, Millis clock) {
  std::lock_guard lock(lock_);
  Millis& newest = clocks_[boot];
  newest = std::max(newest, clock);
}

void LimitService::SendTransfers(Millis now) {
  if (!fleet_->Confirmed(now) || !fleet_->Trusted()) {
    return;
  }
  std::map<BootId, schema::TokenTransfer> transfers;
  std::vector<Member> live = fleet_->LivePeers(now);
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.lock);
    for (auto& [workspace, account] : shard.accounts) {
      std::set<BootId> peers;
      for (const BootId& it : account.OpenPeers()) peers.insert(it);
      if (account.wanted() > 0) {
        for (const Member& it : live) peers.insert(it.boot);
      }
      for (const BootId& peer : peers) {
        TokenPairTotals totals = account.TotalsFor(peer);
        schema::TokenPair* pair = transfers[peer].add_pairs();
        pair->set_workspace(workspace.str());
        pair->set_moved_total(totals.moved);
        pair->set_returned_total(totals.returned);
        pair->set_gave_back_total(totals.gave_back);
        pair->set_wanted(totals.wanted);
      }
    }
  }
  for (auto& [boot, transfer] : transfers) {
    std::string address = fleet_->AddressOf(boot);
    if (address.empty()) {
      continue;
    }
    schema::Envelope envelope;
    transfer.set_to_boot(boot.str());
    {
      std::lock_guard lock(lock_);
      auto clock = clocks_.find(boot);
      if (clock == clocks_.end()) continue;
      transfer.set_receiver_ms(clock->second.count());
    }
    *envelope.mutable_token_transfer() = std::move(transfer);
    context_.send(address, std::move(envelope));
  }
}

void LimitService::OnTransfer(const schema::Envelope& envelope, Millis now) {
  const schema::TokenTransfer& transfer = envelope.token_transfer();
  BootId from(envelope.from_boot());
  if (transfer.to_boot() != context_.boot.str()) {
    return;
  }
  Millis age = now - Millis(transfer.receiver_ms());
  size_t givers = std::max<size_t>(fleet_->LivePeers(now).size(), 1);
  bool usable = fleet_->Confirmed(now) && fleet_->Trusted();
  bool baseline = context_.settings->policy() == kBaselinePolicy;
  {
    std::lock_guard lock(lock_);
    // The last word of an instance whose registration is gone is not taken.
    if (!known_boots_.empty() && known_boots_.count(from) == 0) return;
    usable = usable && !holder_.handing_over();
  }
  for (const schema::TokenPair& it : transfer.pairs()) {
    WorkspaceId workspace(it.workspace());
    Shard& shard = ShardOf(workspace);
    std::lock_guard lock(shard.lock);
    auto account = shard.accounts.find(workspace);
    if (account == shard.accounts.end()) {
      continue;
    }
    account->second.OnTotals(
        from, {it.moved_total(), it.returned_total(), it.gave_back_total(), 0},
        age, now);
    if (it.wanted() > 0 && usable && !baseline) {
      double part = it.wanted() / static_cast<double>(givers);
      double spare = account->second.Spare(now);
      account->second.Move(from, std::min(spare, std::max(part, kLeastMove)),
                           now);
    }
  }
}

bool LimitService::Reserve(const WorkspaceId& workspace, double tokens,
                           Millis now) {
  if (!fleet_->Confirmed(now)) {
    return false;
  }
  Shard& shard = ShardOf(workspace);
  std::lock_guard lock(shard.lock);
  auto it = shard.accounts.find(workspace);
  return it != shard.accounts.end() && it->second.Reserve(tokens, now);
}

void LimitService::Refund(const WorkspaceId& workspace, double tokens,
                          Millis now) {
  Shard& shard = ShardOf(workspace);
  std::lock_guard lock(shard.lock);
  auto it = shard.accounts.find(workspace);
  if (it != shard.accounts.end()) {
    it->second.Refund(tokens, now);
  }
}

void LimitService::SetWanted(const WorkspaceId& workspace, double tokens) {
  Shard& shard = ShardOf(workspace);
  std::lock_guard lock(shard.lock);
  auto it = shard.accounts.find(workspace);
  if (it != shard.accounts.end()) {
    it->second.SetWanted(tokens);
  }
}

double LimitService::Tokens(const WorkspaceId& workspace, Millis now) {
  Shard& shard = ShardOf(workspace);
  std::lock_guard lock(shard.lock);
  auto it = shard.accounts.find(workspace);
  return it == shard.accounts.end() ? 0 : it->second.Tokens(now);
}

bool LimitService::HandOver() {
  std::lock_guard lock(lock_);
  leaving_ = true;
  next_read_ = Millis();
  return holder_.owned() == 0;
}

}  // namespace bilberrypitch
