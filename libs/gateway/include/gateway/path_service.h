// Watches whether this instance reaches its upstreams, tells the others, and
// knows which of them could serve in its place.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "serving/ownership.h"
#include "serving/path_monitor.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class PeerMessenger;
class UpstreamRegistry;

// Must be used on the event loop's thread only.
class PathService {
 public:
  PathService(EventLoop* loop, const ClusterMember& self,
              UpstreamRegistry* upstreams, PeerMessenger* peers,
              std::function<void()> on_lost);
  ~PathService();

  bool is_lost() const { return monitor_.is_lost(); }
  // An instance that reaches upstreams and is not in `excluded`: one of the own
  // zone if there is any. `hash` spreads requests over them.
  std::optional<ClusterMember> ChooseRelay(
      uint64_t hash, const std::set<MachineId>& excluded) const;
  bool HasRelay() const { return ChooseRelay(0, {}).has_value(); }

  // See PathMonitor.
  void OnReached();
  void OnUnreached(const UpstreamId& upstream);
  void OnRequestSent();
  void OnBytes();
  void OnRequestEnded();

  // Another instance says whether it has lost its path.
  void OnNews(const MachineId& from, bool is_lost);

 private:
  void Update();
  void StartRound(const std::vector<UpstreamId>& round);
  void OnRoundEnded(bool reached);
  void OnStateMayHaveChanged(bool was_lost);
  void TellPeers();

  EventLoop* const loop_;
  const ClusterMember self_;
  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  const std::function<void()> on_lost_;
  PathMonitor monitor_;
  std::map<MachineId, Millis> lost_peers_;  // Until when they count as such.
  Timer round_timer_;
  Timer news_timer_;
  // Ends with this object, so that probes don't report to it any more.
  const std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bilberrypitch
