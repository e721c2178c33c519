// Distributed rate limiter for the workspaces.
//
// Each workspace has a rate account that one instance owns (see ownership.h).
// The other instances ask the owner for tokens before they serve a request, so
// a request is rejected only if the workspace as a whole exceeds its rate.
//
// An instance that has received no message from the owner for some time falls
// back to a local share: an equal part of the rate for each member. The owner
// hands out only the shares of those instances from which it received a message
// recently. It drops an instance earlier than the instance falls back to its
// own share, so the shares of both sides of a network partition together add up
// to the rate.
//
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "serving/config.h"
#include "serving/ids.h"
#include "serving/token_bucket.h"

namespace bilberrypitch {

// How far the sum over all instances may exceed a workspace's limit.
struct RateTolerance {
  double excess_ratio = 0;  // Part of what the limit allows in a window.
  double extra_tokens = 0;  // Tokens in addition to that.
  double window_s = 8;
};

struct RateDecision {
  bool granted = false;
  Millis wait;  // If not granted: time until it could be.
};

// Not thread-safe.
class RateLimiter {
 public:
  RateLimiter(MachineId self, RateTolerance tolerance)
      : self_(std::move(self)), tolerance_(tolerance) {}

  void SetWorkspaces(const std::vector<Workspace>& workspaces, Millis now);
  void SetMembers(const std::vector<MachineId>& members, Millis now);
  // This instance owns the workspace's rate account, or no longer does.
  void SetOwnedBySelf(const WorkspaceId& workspace, bool owned_by_self,
                      Millis now);
  // A message of a peer arrived.
  void OnMessageFrom(const MachineId& peer, Millis now);

  bool Owns(const WorkspaceId& workspace) const;
  // Takes tokens as the owner of the account. A retried request (same
  // `requester` and `nonce`) gets the same decision and is charged once, unless
  // `nonce` is 0 or many other requests of the requester came in between.
  RateDecision AcquireAsOwner(const MachineId& requester, uint64_t nonce,
                              const WorkspaceId& workspace, double cost,
                              Millis now);
  // Takes tokens from this instance's local share, without the owner. While the
  // owner counts as reachable, only a part of the tolerance is available.
  RateDecision AcquireFromLocalShare(const WorkspaceId& workspace,
                                     const MachineId& owner, double cost,
                                     Millis now);
  // Whether a message of the owner arrived recently enough to wait for its
  // response.
  bool IsReachable(const MachineId& owner, Millis now) const;

 private:
  struct Account {
    RateLimit limit;
    bool limited = false;
    double tolerance = 0;  // Tokens per window beyond the limit.
    bool owned_by_self = false;
    TokenBucket owner_bucket;  // Used as the owner.
    TokenBucket local_bucket;  // This instance's local share.
    bool local_share_active = false;
  };
  struct PastDecision {
    uint64_t nonce = 0;
    RateDecision decision;
  };

  // Adapts both buckets to the limit and to the instances now reachable.
  void UpdateLimits(Account* account, Millis now);
  // Number of instances that this one counts as reachable when it is the owner,
  // including itself.
  size_t ReachableMembers(Millis now) const;

  const MachineId self_;
  const RateTolerance tolerance_;
  std::map<WorkspaceId, Account> accounts_;
  std::vector<MachineId> members_;
  std::map<MachineId, Millis> last_message_at_;
  // Recent decisions as the owner, by requester, newest last.
  std::map<MachineId, std::vector<PastDecision>> past_decisions_;
};

}  // namespace bilberrypitch
