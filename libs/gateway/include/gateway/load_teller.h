// Tells the other instances what this one has on its way to each engine.
#pragma once

#include <set>

#include "serving/ids.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class PeerLink;
class UpstreamRegistry;

// On the loop's thread only.
class LoadTeller {
 public:
  LoadTeller(EventLoop* loop, UpstreamRegistry* upstreams, PeerLink* peers);
  // Told a little later, together with what changes meanwhile.
  void OnChanged(const UpstreamId& engine);

 private:
  Millis Period() const;
  void Tell();

  UpstreamRegistry* const upstreams_;
  PeerLink* const peers_;
  std::set<UpstreamId> changed_;
  Timer timer_;
};

}  // namespace bilberrypitch
