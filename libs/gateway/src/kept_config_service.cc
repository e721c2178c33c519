// Writes, publishes and removes the record of the configuration in force.
#include "gateway/kept_config_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/known_items.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

KeptConfigService::KeptConfigService(EventLoop* loop, ClusterStore* store,
                                     Hooks hooks)
    : store_(store), hooks_(std::move(hooks)), timer_(loop) {}

void KeptConfigService::OnInForce(const StoreItem& config_item,
                                  int64_t version) {
  in_force_ = config_item;
  keeper_.OnVersionInForce(version);
}

void KeptConfigService::OnFullRead(const std::set<std::string>& keys) {
  if (keys.count(KeptConfigKey()) == 0) {
    keeper_.OnKeptRemoved();
  }
  if (in_force_ && keys.count(in_force_->key) == 0) {
    keeper_.OnStoreVersion(0);
  }
}

void KeptConfigService::Update(StoreRevision revision) {
  if (in_force_ && keeper_.IsAhead()) {
    // Followers must not wait for the write: one that starts would serve by the
    // copy's configuration until then.
    StoreItem item;
    item.key = KeptConfigKey();
    item.value = EncodeKeptConfig(*in_force_);
    item.revision = revision;
    hooks_.publish(item);
  }
  Act();
}

void KeptConfigService::Act() {
  Millis now = EventLoop::Now();
  switch (keeper_.TakeAction(hooks_.rank(), now)) {
    case ConfigKeeper::Action::kWrite:
      Write();
      break;
    case ConfigKeeper::Action::kRemove:
      Remove();
      break;
    case ConfigKeeper::Action::kNone:
      break;
  }
  Millis due = keeper_.NextDue();
  if (due != Millis(0)) {
    timer_.Start(std::max(Millis(1), due - now), [this] { Act(); });
  }
}

void KeptConfigService::Write() {
  LogWarning("config", "Keeps the version in force, which the store lacks.");
  StoreTransaction transaction;
  transaction.conditions.push_back({KeptConfigKey(), keeper_.kept_revision()});
  transaction.writes.push_back(
      {KeptConfigKey(), EncodeKeptConfig(*in_force_), 0});
  store_->Commit(std::move(transaction), [this](
                                             const StoreCommitResult& result) {
    if (result.outcome == StoreOutcome::kConflict) {
      keeper_.OnKeptRemoved();
      std::for_each(result.current.begin(), result.current.end(), hooks_.apply);
    }
  });
}

void KeptConfigService::Remove() {
  StoreTransaction transaction;
  transaction.conditions.push_back({KeptConfigKey(), keeper_.kept_revision()});
  transaction.deletes.push_back(KeptConfigKey());
  store_->Commit(std::move(transaction), [](const StoreCommitResult&) {});
}

}  // namespace bilberrypitch
