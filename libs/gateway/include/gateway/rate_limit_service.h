// Acquires tokens of the workspaces' rate limits: from the instance that owns
// the workspace's rate account, or as the owner itself.
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

// The pointers passed to the constructor must outlive the service. Must be used
// on the event loop's thread only.
class RateLimitService {
 public:
  RateLimitService(EventLoop* loop, MachineId self, RateTolerance tolerance,
                   Ownership* ownership, LeaseManager* lease_manager,
                   PeerMessenger* peers);
  ~RateLimitService();

  void SetWorkspaces(const std::vector<Workspace>& workspaces);
  void OnMembersChanged();
  void OnOwnershipChanged(const WorkspaceId& workspace);
  // Must be called for every message that is received from the peer.
  void OnMessageFrom(const MachineId& peer);

  // Calls `done` with the decision, possibly before Acquire returns. If the
  // owner is unknown, unreachable or can't act as the owner, the decision
  // comes from this instance's local share of the limit.
  void Acquire(const WorkspaceId& workspace, double cost,
               std::function<void(RateDecision)> done);
  // Messages from other instances.
  void OnRequest(const MachineId& from, const schema::RateQuestion& request);
  void OnResponse(const schema::RateAnswer& response);

 private:
  struct PendingRequest;

  void SendRequest(uint64_t nonce);
  void OnTimeout(uint64_t nonce);
  // Whether this instance owns the account, its ownership is in effect and its
  // lease is valid.
  bool CanActAsOwner(const WorkspaceId& workspace, Millis now) const;
  // Whether this instance owns the account and its takeover delay runs.
  bool WaitsToAct(const WorkspaceId& workspace, Millis now) const;
  // Sends a heartbeat to the owners of rate accounts, or to all members if this
  // instance is an owner itself.
  void SendHeartbeats();

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  LeaseManager* const lease_manager_;
  PeerMessenger* const peers_;
  RateLimiter limiter_;
  std::vector<WorkspaceId> workspaces_;
  // Keyed by nonce.
  std::map<uint64_t, std::unique_ptr<PendingRequest>> pending_requests_;
  uint64_t last_nonce_ = 0;
  Timer heartbeat_timer_;
};

}  // namespace bilberrypitch
