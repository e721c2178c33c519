// The tokens of the workspaces' rates.
//
// One instance keeps the account of each workspace (its duty, see
// ownership.h); the others ask it for each request, so a request is refused
// only when the workspace is beyond its rate. An instance that has not heard
// the keeper for a while gives from an equal part of the rate of its own, and
// the keeper mints the parts of only those instances that it has heard lately.
// The keeper gives an instance up earlier than the instance begins on its own,
// so the parts add up to the rate on both sides of a cut.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "serving/config.h"
#include "serving/ids.h"
#include "serving/token_bucket.h"

namespace bilberrypitch {

// How far the sum over all instances may go beyond a workspace's limit.
struct RateTolerance {
  double excess_ratio = 0;  // Part of what the limit allows in a window,
  double extra_tokens = 0;  // and tokens beside.
  double window_s = 8;
};

struct RateDecision {
  bool granted = false;
  Millis wait;  // When not granted: until it would be.
};

class RateLimiter {
 public:
  RateLimiter(MachineId self, RateTolerance margin)
      : self_(std::move(self)), margin_(margin) {}

  void SetWorkspaces(const std::vector<Workspace>& workspaces, Millis now);
  void SetMembers(const std::vector<MachineId>& members, Millis now);
  // This instance keeps the workspace's account, or no longer.
  void SetOwnedBySelf(const WorkspaceId& workspace, bool self_keeps,
                      Millis now);
  // A peer was heard.
  void OnMessageFrom(const MachineId& peer, Millis now);

  bool Owns(const WorkspaceId& workspace) const;
  // As the keeper. A repeated question (same `nonce`) gets the same answer.
  RateDecision AcquireAsOwner(const MachineId& asker, uint64_t nonce,
                              const WorkspaceId& workspace, double cost,
                              Millis now);
  // Without the keeper: from the part of its own.
  RateDecision AcquireFromLocalShare(const WorkspaceId& workspace,
                                     const MachineId& keeper, double cost,
                                     Millis now);
  // Whether the keeper was heard lately enough to wait for its answer.
  bool IsReachable(const MachineId& keeper, Millis now) const;

 private:
  struct Account {
    RateLimit limit;
    bool limited = false;
    double extra = 0;  // Tokens that may be given beyond, in a window.
    bool kept = false;
    TokenBucket whole;  // Of the keeper.
    TokenBucket alone;  // Of this instance's own part.
    bool alone_on = false;
  };
  struct Answered {
    uint64_t nonce = 0;
    RateDecision verdict;
  };

  void Apply(Account* account, Millis now);
  size_t Heard(Millis now) const;

  const MachineId self_;
  const RateTolerance margin_;
  std::map<WorkspaceId, Account> accounts_;
  std::vector<MachineId> members_;
  std::map<MachineId, Millis> heard_;
  std::map<MachineId, std::vector<Answered>> answered_;  // Newest last.
};

}  // namespace bilberrypitch
