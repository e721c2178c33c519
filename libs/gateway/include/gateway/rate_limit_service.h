// Asks the keeper of a workspace's rate, or gives as the keeper.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "serving/rate_limiter.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
class LeaseManager;
class Ownership;
class PeerMessenger;
namespace schema {
class RateAnswer;
class RateQuestion;
}  // namespace schema

// On the loop's thread only.
class RateLimitService {
 public:
  RateLimitService(EventLoop* loop, MachineId self, RateTolerance margin,
                   Ownership* ownership, LeaseManager* lease,
                   PeerMessenger* peers);
  ~RateLimitService();

  void SetWorkspaces(const std::vector<Workspace>& workspaces);
  void OnMembersChanged();
  void OnOwnershipChanged(const WorkspaceId& workspace);
  void OnMessageFrom(const MachineId& peer);

  // `done` may be called before the return.
  void Acquire(const WorkspaceId& workspace, double cost,
               std::function<void(RateDecision)> done);
  void OnRequest(const MachineId& from, const schema::RateQuestion& question);
  void OnResponse(const schema::RateAnswer& answer);

 private:
  struct Open;

  void Ask(uint64_t nonce);
  void OnSilence(uint64_t nonce);
  bool MayKeep(const WorkspaceId& workspace, Millis now) const;
  void Heartbeat();

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  LeaseManager* const lease_;
  PeerMessenger* const peers_;
  RateLimiter ledger_;
  std::vector<WorkspaceId> workspaces_;
  std::map<uint64_t, std::unique_ptr<Open>> open_;
  uint64_t last_nonce_ = 0;
  Timer heartbeat_;
};

}  // namespace bilberrypitch
