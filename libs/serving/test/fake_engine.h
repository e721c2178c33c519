// A fake engine that handles orders as the platform's documentation describes:
// it has a limited number of adapter slots and counts accepted orders, loads
// take time, unloads wait for running requests, reports lag behind the state,
// and orders may be carried out late.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "serving/engine_api.h"

namespace bilberrypitch {

// Not thread-safe. It has no clock of its own; each call passes the current
// time.
class FakeEngine {
 public:
  FakeEngine(ModelId model, size_t adapter_slots)
      : model_(std::move(model)), adapter_slots_(adapter_slots) {
    SaveSnapshot(Millis(0));
  }

  // Carries out an order. Returns kConflict if an unload is still waiting, if
  // `expected_order_count` differs from the number of accepted orders, or if
  // the adapter or four others are already being loaded.
  OrderOutcome ExecuteOrder(OrderAction action, const ModelRef& target,
                            int64_t version, int64_t expected_order_count,
                            Millis now) {
    Advance(now);
    if (deferred_unload_ || expected_order_count != accepted_orders_) {
      return OrderOutcome::kConflict;
    }
    if (action == OrderAction::kLoad) {
      return Load(target, version, now);
    }
    if (loaded_.count(target) == 0) {
      return OrderOutcome::kAlreadyDone;
    }
    ++accepted_orders_;
    if (running_[target] > 0) {
      deferred_unload_ = target;
      return OrderOutcome::kStarted;
    }
    loaded_.erase(target);
    SaveSnapshot(now);
    return OrderOutcome::kAlreadyDone;
  }

  // Carries out the order at `due`. Its response is lost.
  void ScheduleLateOrder(OrderAction action, const ModelRef& target,
                         int64_t version, int64_t expected_order_count,
                         Millis due) {
    late_orders_.push_back(
        {action, target, version, expected_order_count, due});
  }

  // Starts a request on the adapter. Returns false if the adapter is not loaded
  // or is being unloaded.
  bool StartRequest(const ModelRef& target, Millis now) {
    Advance(now);
    bool unloading = deferred_unload_ && *deferred_unload_ == target;
    if (loaded_.count(target) == 0 || unloading) {
      return false;
    }
    ++running_[target];
    return true;
  }

  void EndRequest(const ModelRef& target, Millis now) {
    Advance(now);
    --running_[target];
    Advance(now);
  }

  // Restarts the engine: it loses its adapters, requests and order count.
  void Restart(Millis now) {
    loaded_.clear();
    recently_loaded_.clear();
    loading_.clear();
    running_.clear();
    deferred_unload_.reset();
    accepted_orders_ = 0;
    snapshots_.clear();
    SaveSnapshot(now);
  }

  // Returns the report as of `lag` before `now`.
  EngineReport FetchReport(Millis now, Millis lag) {
    Advance(now);
    EngineReport report = snapshots_.front().second;
    for (const auto& [taken_at, snapshot] : snapshots_) {
      if (taken_at <= now - lag) {
        report = snapshot;
      }
    }
    return report;
  }

  bool slots_exceeded() const { return slots_exceeded_; }
  size_t loads() const { return loads_; }
  size_t deferred_unloads() const { return deferred_unloads_; }
  bool Holds(const ModelRef& target) const { return loaded_.count(target) > 0; }

 private:
  struct LateOrder {
    OrderAction action;
    ModelRef target;
    int64_t version;
    int64_t expected_order_count;
    Millis due;
  };

  OrderOutcome Load(const ModelRef& target, int64_t version, Millis now) {
    if (loaded_.count(target) > 0 && loaded_[target] >= version) {
      return OrderOutcome::kAlreadyDone;
    }
    if (loading_.count(target) > 0 || loading_.size() >= 4) {
      return OrderOutcome::kConflict;
    }
    size_t used_slots = loaded_.size() + loading_.size();
    slots_exceeded_ = slots_exceeded_ || (loaded_.count(target) == 0 &&
                                          used_slots + 1 > adapter_slots_);
    ++accepted_orders_;
    ++loads_;
    // Recently loaded adapters load ten times as fast.
    bool recently_loaded =
        std::find(recently_loaded_.begin(), recently_loaded_.end(), target) !=
        recently_loaded_.end();
    loading_[target] = {std::max<int64_t>(version, 1),
                        now + Millis(recently_loaded ? 25 : 250)};
    SaveSnapshot(now);
    return OrderOutcome::kStarted;
  }

  void Advance(Millis now) {
    for (auto it = late_orders_.begin(); it != late_orders_.end();) {
      if (it->due > now) {
        ++it;
        continue;
      }
      LateOrder order = *it;
      it = late_orders_.erase(it);
      ExecuteOrder(order.action, order.target, order.version,
                   order.expected_order_count, order.due);
    }
    for (auto it = loading_.begin(); it != loading_.end();) {
      if (it->second.second > now) {
        ++it;
        continue;
      }
      loaded_[it->first] = it->second.first;
      std::erase(recently_loaded_, it->first);
      recently_loaded_.push_back(it->first);
      if (recently_loaded_.size() > 36) {
        recently_loaded_.pop_front();
      }
      it = loading_.erase(it);
      SaveSnapshot(now);
    }
    if (deferred_unload_ && running_[*deferred_unload_] == 0) {
      ++deferred_unloads_;
      loaded_.erase(*deferred_unload_);
      deferred_unload_.reset();
      SaveSnapshot(now);
    }
  }

  void SaveSnapshot(Millis now) {
    EngineReport report;
    LoadedModel model;
    model.model = model_;
    for (const auto& [target, version] : loaded_) {
      model.adapters.push_back({target.adapter, version});
    }
    report.models.push_back(std::move(model));
    for (const auto& [target, load] : loading_) {
      report.loading.push_back(target);
    }
    report.orders_accepted = accepted_orders_;
    snapshots_.emplace_back(now, std::move(report));
    if (snapshots_.size() > 64) {
      snapshots_.pop_front();
    }
  }

  const ModelId model_;
  const size_t adapter_slots_;
  int64_t accepted_orders_ = 0;
  std::map<ModelRef, int64_t> loaded_;  // Versions of the loaded adapters.
  // Version and completion time of each adapter that is being loaded.
  std::map<ModelRef, std::pair<int64_t, Millis>> loading_;
  std::map<ModelRef, int> running_;       // Running requests of each adapter.
  std::deque<ModelRef> recently_loaded_;  // Newest last.
  // The unload that waits for running requests; meanwhile every order
  // conflicts.
  std::optional<ModelRef> deferred_unload_;
  std::vector<LateOrder> late_orders_;
  std::deque<std::pair<Millis, EngineReport>> snapshots_;  // Oldest first.
  bool slots_exceeded_ = false;
  size_t loads_ = 0;
  size_t deferred_unloads_ = 0;  // Unloads that had to wait.
};

}  // namespace bilberrypitch
