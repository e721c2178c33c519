// An in-memory fake of the platform's store, which a test can make unavailable.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "serving/cluster_store.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

// Completes every call after a short delay. Pages are not limited, and leases
// never end. Must be used on the event loop's thread only.
class FakeStore : public ClusterStore {
 public:
  explicit FakeStore(EventLoop* loop) : loop_(loop) {}

  void Put(const std::string& key, const std::string& value,
           int64_t lease = 0) {
    StoreItem& item = items_[key];
    item.key = key;
    item.value = value;
    item.revision = StoreRevision(era_, ++revision_);
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    history_.push_back(item);
  }

  void Remove(const std::string& key) {
    items_.erase(key);
    StoreItem removed_item;
    removed_item.key = key;
    removed_item.revision = StoreRevision(era_, ++revision_);
    removed_item.deleted = true;
    history_.push_back(removed_item);
  }

  // While `unavailable` is set, every call ends with StoreOutcome::kUnknown.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  // Removes all earlier changes from the history.
  void DropHistory() { compacted_revision_ = revision_; }
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    StorePage page;
    if (!unavailable_) {
      page.outcome = StoreOutcome::kOk;
      page.era = era_;
      page.revision = StoreRevision(era_, revision_);
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after_key) {
          page.items.push_back(item);
        }
      }
    }
    RunLater([done, page] { done(page); });
  }

  void Watch(const std::string& prefix, StoreRevision revision, Millis timeout,
             std::function<void(StoreWatchResult)> done) override {
    StoreWatchResult result;
    if (!unavailable_) {
      result.era = era_;
    }
    if (!unavailable_ && revision.number < compacted_revision_) {
      result.outcome = StoreOutcome::kHistoryCompacted;
    } else if (!unavailable_) {
      result.outcome = StoreOutcome::kOk;
      result.revision = StoreRevision(era_, revision_);
      for (const StoreItem& event : history_) {
        if (event.revision.number > revision.number &&
            event.key.starts_with(prefix)) {
          result.events.push_back(event);
        }
      }
    }
    bool keep_waiting = !unavailable_ && result.outcome == StoreOutcome::kOk &&
                        result.events.empty() && timeout > Millis(0);
    if (keep_waiting) {
      // Checks again after the delay, until the timeout has passed.
      Millis checked_at = EventLoop::Now();
      RunLater([this, prefix, revision, timeout, done, checked_at] {
        Watch(prefix, revision, timeout - (EventLoop::Now() - checked_at),
              done);
      });
      return;
    }
    RunLater([done, result] { done(result); });
  }

  void Commit(StoreTransaction transaction,
              std::function<void(StoreCommitResult)> done) override {
    StoreCommitResult result;
    if (!unavailable_) {
      result.era = era_;
      result.outcome = StoreOutcome::kOk;
      for (const KeyCondition& condition : transaction.conditions) {
        auto current = items_.find(condition.key);
        int64_t current_revision =
            current == items_.end() ? 0 : current->second.revision.number;
        if (current_revision != condition.revision.number) {
          result.outcome = StoreOutcome::kConflict;
        }
      }
    }
    if (result.outcome == StoreOutcome::kOk) {
      for (const KeyWrite& write : transaction.writes) {
        Put(write.key, write.value, write.lease);
      }
      for (const std::string& key : transaction.deletes) {
        Remove(key);
      }
      result.revision = StoreRevision(era_, revision_);
    }
    RunLater([done, result] { done(result); });
  }

  void GrantLease(Millis time_to_live,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult lease;
    if (!unavailable_) {
      lease = {StoreOutcome::kOk, ++last_lease_, time_to_live, era_};
    }
    RunLater([done, lease] { done(lease); });
  }

  void RenewLease(int64_t lease,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult renewed;
    if (!unavailable_) {
      renewed = {StoreOutcome::kOk, lease, Millis(6000), era_};
    }
    RunLater([done, renewed] { done(renewed); });
  }

  void RevokeLease(int64_t) override {}

 private:
  static constexpr Millis kDelay{5};

  void RunLater(std::function<void()> work) {
    auto timer = std::make_shared<Timer>(loop_);
    timer->Start(kDelay, [timer, work = std::move(work)] { work(); });
  }

  EventLoop* const loop_;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> history_;
  int64_t era_ = 0;
  int64_t revision_ = 0;
  int64_t compacted_revision_ = 0;
  int64_t last_lease_ = 0;
  bool unavailable_ = false;
};

}  // namespace bilberrypitch
