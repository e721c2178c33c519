// An in-memory fake of the platform's store, which a test can make unavailable
// and restore from an earlier copy.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "serving/cluster_store.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

// Completes every call after a short delay. Pages are not limited, and leases
// end only by RevokeLease, or because a copy doesn't have them. Must be used on
// the event loop's thread only.
class FakeStore : public ClusterStore {
 public:
  explicit FakeStore(EventLoop* loop) : loop_(loop) {}

  void Put(const std::string& key, const std::string& value,
           int64_t lease = 0) {
    StoreItem& item = data_.items[key];
    item.key = key;
    item.value = value;
    item.revision = StoreRevision(era_, ++data_.revision);
    item.created = item.created == 0 ? data_.revision : item.created;
    item.lease = lease;
    data_.history.push_back(item);
  }

  void Remove(const std::string& key) {
    data_.items.erase(key);
    StoreItem removed_item;
    removed_item.key = key;
    removed_item.revision = StoreRevision(era_, ++data_.revision);
    removed_item.deleted = true;
    data_.history.push_back(removed_item);
  }

  // While `unavailable` is set, every call ends with StoreOutcome::kUnknown.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  // Removes all earlier changes from the history.
  void DropHistory() { data_.compacted_revision = data_.revision; }
  bool Has(const std::string& key) const { return data_.items.count(key) > 0; }
  std::string ValueOf(const std::string& key) const {
    auto it = data_.items.find(key);
    return it == data_.items.end() ? "" : it->second.value;
  }
  int64_t era() const { return era_; }
  int64_t revision() const { return data_.revision; }

  // Keeps a copy of everything that has been acknowledged so far.
  void TakeCopy() { copy_ = data_; }
  // Loses what was written since TakeCopy. Revisions and ids of leases are
  // given out again.
  void RestoreCopy() {
    data_ = copy_;
    ++era_;
  }

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    StorePage page;
    if (!unavailable_) {
      page.outcome = StoreOutcome::kOk;
      page.era = era_;
      page.revision = StoreRevision(era_, data_.revision);
      for (const auto& [key, item] : data_.items) {
        if (key.starts_with(prefix) && key > after_key) {
          page.items.push_back(InCurrentEra(item));
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
    if (!unavailable_ && (revision.number < data_.compacted_revision ||
                          revision.number > data_.revision)) {
      result.outcome = StoreOutcome::kHistoryCompacted;
    } else if (!unavailable_) {
      result.outcome = StoreOutcome::kOk;
      result.revision = StoreRevision(era_, data_.revision);
      for (const StoreItem& event : data_.history) {
        if (event.revision.number > revision.number &&
            event.key.starts_with(prefix)) {
          result.events.push_back(InCurrentEra(event));
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
        auto current = data_.items.find(condition.key);
        int64_t current_revision =
            current == data_.items.end() ? 0 : current->second.revision.number;
        if (current_revision != condition.revision.number) {
          result.outcome = StoreOutcome::kConflict;
          if (current != data_.items.end()) {
            result.current.push_back(InCurrentEra(current->second));
          }
        }
      }
    }
    for (const KeyWrite& write : transaction.writes) {
      bool lease_missing =
          write.lease != 0 && data_.leases.count(write.lease) == 0;
      if (result.outcome == StoreOutcome::kOk && lease_missing) {
        result.outcome = StoreOutcome::kLeaseNotFound;
      }
    }
    if (result.outcome == StoreOutcome::kOk) {
      for (const KeyWrite& write : transaction.writes) {
        Put(write.key, write.value, write.lease);
      }
      for (const std::string& key : transaction.deletes) {
        Remove(key);
      }
      result.revision = StoreRevision(era_, data_.revision);
    }
    RunLater([done, result] { done(result); });
  }

  void GrantLease(Millis time_to_live,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult lease;
    if (!unavailable_) {
      lease = {StoreOutcome::kOk, ++data_.last_lease, time_to_live, era_};
      data_.leases.insert(data_.last_lease);
    }
    RunLater([done, lease] { done(lease); });
  }

  void RenewLease(int64_t lease,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult renewed;
    if (!unavailable_ && data_.leases.count(lease) == 0) {
      renewed.era = era_;
      renewed.outcome = StoreOutcome::kLeaseNotFound;
    } else if (!unavailable_) {
      renewed = {StoreOutcome::kOk, lease, Millis(6000), era_};
    }
    RunLater([done, renewed] { done(renewed); });
  }

  void RevokeLease(int64_t lease) override {
    if (unavailable_ || data_.leases.erase(lease) == 0) {
      return;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : data_.items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }
  // Ends the lease as the store does when it isn't renewed.
  void ExpireLease(int64_t lease) { RevokeLease(lease); }
  int64_t LeaseOf(const std::string& key) const {
    auto it = data_.items.find(key);
    return it == data_.items.end() ? 0 : it->second.lease;
  }

 private:
  static constexpr Millis kDelay{5};

  struct Data {
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> history;
    int64_t revision = 0;
    int64_t compacted_revision = 0;
    int64_t last_lease = 0;
    std::set<int64_t> leases;
  };

  // The store states one era for all that a response contains.
  StoreItem InCurrentEra(StoreItem item) const {
    item.revision.era = era_;
    return item;
  }

  void RunLater(std::function<void()> work) {
    auto timer = std::make_shared<Timer>(loop_);
    timer->Start(kDelay, [timer, work = std::move(work)] { work(); });
  }

  EventLoop* const loop_;
  Data data_;
  Data copy_;
  int64_t era_ = 0;
  bool unavailable_ = false;
};

}  // namespace bilberrypitch
