// Reports to the other instances the load that this instance has in flight to
// each engine.
#pragma once

#include <set>

#include "serving/ids.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class PeerMessenger;
class UpstreamRegistry;

// The pointers passed to the constructor must outlive it. Must be used on the
// event loop's thread only.
class LoadBroadcaster {
 public:
  LoadBroadcaster(EventLoop* loop, UpstreamRegistry* upstreams,
                  PeerMessenger* peers);
  // Schedules a report, which also covers the changes made until it is sent.
  void OnLoadChanged(const UpstreamId& engine);

 private:
  Millis Period() const;
  void BroadcastLoads();

  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  std::set<UpstreamId> changed_;
  Timer timer_;
};

}  // namespace bilberrypitch
