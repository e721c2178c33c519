// Requests that wait at this instance for a place at an engine, fair between
// workspaces by tokens.
//
// Each workspace has a virtual counter that rises by the cost of what it was
// given, divided by its weight. The workspace with the lowest counter that has
// something ready goes first; within it the longest wait. One that was idle
// starts at the lowest counter of those waiting, so that it can't save up.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/adapter_ref.h"
#include "base/strong.h"

namespace bilberrypitch {

struct QueuedRequest {
  RequestId id;
  WorkspaceId workspace;
  double weight = 1;
  double cost_tokens = 0;
  AdapterVersionRef ref;
  PoolId pool;
  Millis enqueued;
  Millis deadline;  // Latest time at which it may still be dispatched.
};

// What waits for one adapter version.
struct WaitingForAdapter {
  AdapterVersionRef ref;
  PoolId pool;
  uint32_t count = 0;
  Millis oldest;  // When the oldest was enqueued.
};

// What waits for one workspace.
struct WaitingForWorkspace {
  WorkspaceId workspace;
  double cost_tokens = 0;
};

struct PushOutcome {
  bool accepted = false;
  // A request of the workspace with the longest queue that gave its place.
  std::optional<RequestId> shed;
};

// By arrival only for comparison in experiments.
enum class QueueOrder : uint8_t { kFair, kByArrival };

// Not thread-safe; its owner holds the lock of the shard.
class FairQueue {
 public:
  explicit FairQueue(size_t longest, QueueOrder order = QueueOrder::kFair)
      : longest_(longest), order_(order) {}

  // A full queue takes the request only by shedding one of a workspace that
  // has more waiting than this one.
  PushOutcome Push(QueuedRequest request);
  // The next request whose adapter version `ready` says can start now.
  std::optional<QueuedRequest> Pop(
      const std::function<bool(const QueuedRequest&)>& ready);
  // Puts back a request that was popped and could not start. Its cost is
  // taken off the counter again.
  void Return(QueuedRequest request);
  bool Remove(const RequestId& id);
  // Removes and returns those whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(Millis now);
  // Corrects the counter when the real cost is known.
  void Charge(const WorkspaceId& workspace, double weight, double tokens);

  size_t size() const { return size_; }
  std::vector<WaitingForAdapter> Waiting() const;
  std::vector<WaitingForWorkspace> WaitingByWorkspace() const;
  double WaitingCost(const WorkspaceId& workspace) const;

 private:
  using Fifo = std::list<QueuedRequest>;
  struct Lane {
    std::map<AdapterVersionRef, Fifo> by_ref;  // No empty lists.
    double counter = 0;
    double cost = 0;  // Invariant: the sum of its requests' costs.
    size_t size = 0;
  };

  double LowestWaiting() const;
  void Insert(QueuedRequest request, bool at_front);
  QueuedRequest Take(Lane* lane, std::map<AdapterVersionRef, Fifo>::iterator it,
                     Fifo::iterator place);
  std::map<WorkspaceId, Lane>::iterator LongestLane();
  // Lanes that wait, in the order in which they may go.
  std::vector<Lane*> LanesInOrder();

  const size_t longest_;
  const QueueOrder order_;
  size_t size_ = 0;  // Invariant: the sum of the lanes' sizes.
  std::map<WorkspaceId, Lane> lanes_;
};

}  // namespace bilberrypitch
