// An engine as the platform's pages describe its orders: places for adapters, a
// count of accepted orders, loads that take time, unloads that wait for runs,
// reports that lag, and orders that are carried out late.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "serving/engine_api.h"

namespace bilberrypitch {

class FakeEngine {
 public:
  FakeEngine(ModelId model, size_t places)
      : model_(std::move(model)), places_(places) {
    Snapshot(Millis(0));
  }

  OrderOutcome Order(OrderAction verb, const ModelRef& target, int64_t version,
                     int64_t expected, Millis now) {
    Advance(now);
    if (waiting_unload_ || expected != orders_) {
      return OrderOutcome::kConflict;
    }
    if (verb == OrderAction::kLoad) {
      return Load(target, version, now);
    }
    if (held_.count(target) == 0) {
      return OrderOutcome::kAlreadyDone;
    }
    ++orders_;
    if (runs_[target] > 0) {
      waiting_unload_ = target;
      return OrderOutcome::kStarted;
    }
    held_.erase(target);
    Snapshot(now);
    return OrderOutcome::kAlreadyDone;
  }

  // Carried out at `at`, its answer lost.
  void OrderLate(OrderAction verb, const ModelRef& target, int64_t version,
                 int64_t expected, Millis at) {
    late_.push_back({verb, target, version, expected, at});
  }

  // Begins a run; false: the adapter is not there.
  bool Begin(const ModelRef& target, Millis now) {
    Advance(now);
    bool leaves = waiting_unload_ && *waiting_unload_ == target;
    if (held_.count(target) == 0 || leaves) {
      return false;
    }
    ++runs_[target];
    return true;
  }

  void End(const ModelRef& target, Millis now) {
    Advance(now);
    --runs_[target];
    Advance(now);
  }

  void Restart(Millis now) {
    held_.clear();
    recent_.clear();
    loading_.clear();
    runs_.clear();
    waiting_unload_.reset();
    orders_ = 0;
    snapshots_.clear();
    Snapshot(now);
  }

  // As of `lag` ago.
  EngineReport Report(Millis now, Millis lag) {
    Advance(now);
    EngineReport report = snapshots_.front().second;
    for (const auto& [at, it] : snapshots_) {
      if (at <= now - lag) {
        report = it;
      }
    }
    return report;
  }

  bool over_places() const { return over_places_; }
  size_t loads() const { return loads_; }
  size_t waiting_unloads() const { return waiting_unloads_; }
  bool Holds(const ModelRef& target) const { return held_.count(target) > 0; }

 private:
  struct Late {
    OrderAction verb;
    ModelRef target;
    int64_t version;
    int64_t expected;
    Millis at;
  };

  OrderOutcome Load(const ModelRef& target, int64_t version, Millis now) {
    if (held_.count(target) > 0 && held_[target] >= version) {
      return OrderOutcome::kAlreadyDone;
    }
    if (loading_.count(target) > 0 || loading_.size() >= 4) {
      return OrderOutcome::kConflict;
    }
    size_t taken = held_.size() + loading_.size();
    over_places_ =
        over_places_ || (held_.count(target) == 0 && taken + 1 > places_);
    ++orders_;
    ++loads_;
    // Adapters that it held recently load ten times as fast.
    bool recent =
        std::find(recent_.begin(), recent_.end(), target) != recent_.end();
    loading_[target] = {std::max<int64_t>(version, 1),
                        now + Millis(recent ? 25 : 250)};
    Snapshot(now);
    return OrderOutcome::kStarted;
  }

  void Advance(Millis now) {
    for (auto it = late_.begin(); it != late_.end();) {
      if (it->at > now) {
        ++it;
        continue;
      }
      Late late = *it;
      it = late_.erase(it);
      Order(late.verb, late.target, late.version, late.expected, late.at);
    }
    for (auto it = loading_.begin(); it != loading_.end();) {
      if (it->second.second > now) {
        ++it;
        continue;
      }
      held_[it->first] = it->second.first;
      std::erase(recent_, it->first);
      recent_.push_back(it->first);
      if (recent_.size() > 36) {
        recent_.pop_front();
      }
      it = loading_.erase(it);
      Snapshot(now);
    }
    if (waiting_unload_ && runs_[*waiting_unload_] == 0) {
      ++waiting_unloads_;
      held_.erase(*waiting_unload_);
      waiting_unload_.reset();
      Snapshot(now);
    }
  }

  void Snapshot(Millis now) {
    EngineReport report;
    LoadedModel model;
    model.model = model_;
    for (const auto& [target, version] : held_) {
      model.adapters.push_back({target.adapter, version});
    }
    report.models.push_back(std::move(model));
    for (const auto& [target, it] : loading_) {
      report.loading.push_back(target);
    }
    report.orders_accepted = orders_;
    snapshots_.emplace_back(now, std::move(report));
    if (snapshots_.size() > 64) {
      snapshots_.pop_front();
    }
  }

  const ModelId model_;
  const size_t places_;
  int64_t orders_ = 0;
  std::map<ModelRef, int64_t> held_;  // With versions.
  std::map<ModelRef, std::pair<int64_t, Millis>> loading_;
  std::map<ModelRef, int> runs_;
  std::deque<ModelRef> recent_;  // Newest last.
  std::optional<ModelRef> waiting_unload_;
  std::vector<Late> late_;
  std::deque<std::pair<Millis, EngineReport>> snapshots_;
  bool over_places_ = false;
  size_t loads_ = 0;
  size_t waiting_unloads_ = 0;
};

}  // namespace bilberrypitch
