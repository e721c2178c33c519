// Tells the other instances what this one has on its way to each engine.
#pragma once

#include <set>

#include "serving/ids.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class PeerMessenger;
class UpstreamRegistry;

// On the loop's thread only.
class LoadBroadcaster {
 public:
  LoadBroadcaster(EventLoop* loop, UpstreamRegistry* upstreams,
                  PeerMessenger* peers);
  // Told a little later, together with what changes meanwhile.
  void OnLoadChanged(const UpstreamId& engine);

 private:
  Millis Period() const;
  void Tell();

  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  std::set<UpstreamId> changed_;
  Timer timer_;
};

}  // namespace bilberrypitch
