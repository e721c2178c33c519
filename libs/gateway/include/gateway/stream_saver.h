// Saves streams in the store, in batches that end with a lease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "serving/ownership.h"
#include "serving/stream_origins.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;

// The service and the version at which streams began.
using StreamGroup = std::pair<ServiceId, SoftwareVersion>;
using StreamGroups = std::map<StreamGroup, std::vector<StreamKey>>;

// Must be used on the event loop's thread only.
class StreamSaver {
 public:
  // `interval` returns the shortest time between two batches.
  StreamSaver(EventLoop* loop, ClusterStore* store, const ClusterMember& self,
              Millis time_to_live, std::function<Millis()> interval);

  void SetTimeToLive(Millis time_to_live) { time_to_live_ = time_to_live; }
  void Add(const StreamGroup& group, StreamKey key);
  // The store has lost the lease of the batches.
  void OnNewEra() { lease_ = 0; }

 private:
  void ScheduleSave();
  void Save();
  void SaveBatch();
  std::string EncodeBatch(const StreamGroups& groups) const;

  ClusterStore* const store_;
  const ClusterMember self_;
  Millis time_to_live_;
  const std::function<Millis()> interval_;
  StreamGroups unsaved_;
  size_t unsaved_count_ = 0;
  uint64_t last_batch_ = 0;
  int64_t lease_ = 0;  // 0: none.
  Millis lease_until_;
  bool saving_ = false;
  Millis last_save_at_;
  Timer timer_;
};

}  // namespace bilberrypitch
