// Reports to the other instances the load that this instance has in flight to
// each engine, and to those of its zone how slow upstreams are.
#pragma once

#include <set>

#include "serving/ids.h"
#include "transport/timer.h"

namespace bilberrypitch {

namespace schema {
class PeerItem;
class SlowdownNews;
}  // namespace schema

class EventLoop;
class PeerMessenger;
class UpstreamRegistry;
struct UpstreamState;

// The pointers passed to the constructor must outlive it. Must be used on the
// event loop's thread only.
class LoadBroadcaster {
 public:
  // `zone`: of this instance.
  LoadBroadcaster(EventLoop* loop, const ZoneId& zone,
                  UpstreamRegistry* upstreams, PeerMessenger* peers);
  // Schedules a report, which also covers the changes made until it is sent.
  void OnLoadChanged(const UpstreamId& engine);
  // The capacity estimate of the upstream has a new sample of this instance.
  void OnCapacitySample(const UpstreamId& id);
  // Applies news of another instance.
  void OnNews(const schema::SlowdownNews& news);

 private:
  Millis Period() const;
  void BroadcastLoads();
  Millis SlowdownPeriod() const;
  void SendSlowdowns();
  void SendToZone(const schema::PeerItem& item);
  // Logs that the upstream has become slow or has recovered.
  void LogIfReclassified(const UpstreamState& upstream);

  const ZoneId zone_;
  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  std::set<UpstreamId> changed_;
  Timer timer_;
  std::set<UpstreamId> slowdowns_due_;
  Timer slowdown_timer_;
  std::set<UpstreamId> slow_;  // As last logged.
};

}  // namespace bilberrypitch
