// The platform's store in memory, with outages that a test switches.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "serving/cluster_store.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

class FakeStore : public ClusterStore {
 public:
  explicit FakeStore(EventLoop* loop) : loop_(loop) {}

  void Put(const std::string& key, const std::string& value,
           int64_t lease = 0) {
    StoreItem& it = items_[key];
    it.key = key;
    it.value = value;
    it.revision = ++revision_;
    it.created = it.created == 0 ? revision_ : it.created;
    it.lease = lease;
    log_.push_back(it);
  }

  void Remove(const std::string& key) {
    items_.erase(key);
    StoreItem gone;
    gone.key = key;
    gone.revision = ++revision_;
    gone.deleted = true;
    log_.push_back(gone);
  }

  // While set every call goes without an answer for a while.
  void SetOut(bool out) { out_ = out; }
  // What was written before is no longer in the history.
  void DropHistory() { oldest_ = revision_; }
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    StorePage page;
    if (!out_) {
      page.outcome = StoreOutcome::kOk;
      page.revision = revision_;
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after_key) {
          page.items.push_back(item);
        }
      }
    }
    Later([done, page] { done(page); });
  }

  void Watch(const std::string& prefix, int64_t revision, Millis wait,
             std::function<void(StoreWatchResult)> done) override {
    StoreWatchResult events;
    if (!out_ && revision < oldest_) {
      events.outcome = StoreOutcome::kHistoryCompacted;
    } else if (!out_) {
      events.outcome = StoreOutcome::kOk;
      events.revision = revision_;
      for (const StoreItem& it : log_) {
        if (it.revision > revision && it.key.starts_with(prefix)) {
          events.events.push_back(it);
        }
      }
    }
    bool waits = !out_ && events.outcome == StoreOutcome::kOk &&
                 events.events.empty() && wait > Millis(0);
    if (waits) {
      // Looks once more a moment later.
      Later([this, prefix, revision, wait, done] {
        Watch(prefix, revision, wait - kMoment, done);
      });
      return;
    }
    Later([done, events] { done(events); });
  }

  void Commit(StoreTransaction commit,
              std::function<void(StoreCommitResult)> done) override {
    StoreCommitResult result;
    if (!out_) {
      result.outcome = StoreOutcome::kOk;
      for (const KeyCondition& it : commit.conditions) {
        auto found = items_.find(it.key);
        int64_t stands = found == items_.end() ? 0 : found->second.revision;
        if (stands != it.revision) {
          result.outcome = StoreOutcome::kConflict;
        }
      }
    }
    if (result.outcome == StoreOutcome::kOk) {
      for (const KeyWrite& it : commit.writes) {
        Put(it.key, it.value, it.lease);
      }
      for (const std::string& it : commit.deletes) {
        Remove(it);
      }
      result.revision = revision_;
    }
    Later([done, result] { done(result); });
  }

  void GrantLease(Millis time_to_live,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult lease;
    if (!out_) {
      lease = {StoreOutcome::kOk, ++last_lease_, time_to_live};
    }
    Later([done, lease] { done(lease); });
  }

  void RenewLease(int64_t lease,
                  std::function<void(StoreLeaseResult)> done) override {
    StoreLeaseResult renewed;
    if (!out_) {
      renewed = {StoreOutcome::kOk, lease, Millis(6000)};
    }
    Later([done, renewed] { done(renewed); });
  }

  void RevokeLease(int64_t) override {}

 private:
  static constexpr Millis kMoment{5};

  void Later(std::function<void()> work) {
    auto timer = std::make_shared<Timer>(loop_);
    timer->Start(kMoment, [timer, work = std::move(work)] { work(); });
  }

  EventLoop* const loop_;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> log_;
  int64_t revision_ = 0;
  int64_t oldest_ = 0;
  int64_t last_lease_ = 0;
  bool out_ = false;
};

}  // namespace bilberrypitch
