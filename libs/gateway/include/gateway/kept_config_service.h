// Keeps the configuration in force in the store while the operator's record
// there is older, see ConfigKeeper.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "serving/config_keeper.h"
#include "serving/store_item.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;

// Writes and removes the record of the instances. Must be used on the event
// loop's thread only.
class KeptConfigService {
 public:
  struct Hooks {
    // Returns how many members act before this instance.
    std::function<size_t()> rank;
    // Passes a record on to the followers of this instance's view.
    std::function<void(const StoreItem& item)> publish;
    // Applies a record that the store returned.
    std::function<void(const StoreItem& item)> apply;
  };

  // `store` must outlive the service.
  KeptConfigService(EventLoop* loop, ClusterStore* store, Hooks hooks);

  // The configuration of this operator's record is in force.
  void OnInForce(const StoreItem& config_item, int64_t version);
  void OnStoreVersion(int64_t version) { keeper_.OnStoreVersion(version); }
  // Whether the store lacks the configuration in force.
  bool IsAhead() const { return keeper_.IsAhead(); }
  // The record of the instances was written, with this version.
  void OnKept(int64_t version, StoreRevision revision) {
    keeper_.OnKept(version, revision);
  }
  void OnKeptRemoved() { keeper_.OnKeptRemoved(); }
  // A full read found these keys and no others.
  void OnFullRead(const std::set<std::string>& keys);
  // Acts on what was reported. `revision`: of this instance's view.
  void Update(StoreRevision revision);

 private:
  void Act();
  void Write();
  void Remove();

  ClusterStore* const store_;
  const Hooks hooks_;
  ConfigKeeper keeper_;
  std::optional<StoreItem> in_force_;  // The operator's record.
  Timer timer_;
};

}  // namespace bilberrypitch
