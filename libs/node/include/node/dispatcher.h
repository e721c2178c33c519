// Queues requests for the engines of each pool and sends them on: fair between
// workspaces, by residency, within the workspace's tokens. Sharded by pool,
// each shard under its own lock.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/catalog.h"
#include "dispatch/fair_queue.h"
#include "dispatch/retry_policy.h"
#include "node/crash_watch.h"
#include "node/demand_sender.h"
#include "node/model_request.h"
#include "node/node_context.h"

namespace bilberrypitch {

class FleetService;
class LimitService;
class ResidencyService;
class UpstreamTable;

namespace schema {
class Envelope;
}

// Thread-safe. Lock order: a shard's lock, then any lock of the services.
class Dispatcher {
 public:
  Dispatcher(const NodeContext& context, FleetService* fleet,
             ResidencyService* residency, UpstreamTable* upstreams,
             LimitService* limits);

  void Submit(std::shared_ptr<ModelRequest> request, Millis now);
  void Tick(Millis now);
  // Something changed that may let waiting requests start.
  void PumpAll(Millis now);
  CrashWatch& crashes() { return crashes_; }
  // Ends the requests that came with keys no longer in force.
  void OnDocument(const Catalog& catalog);
  // Refuses what comes from now on.
  void Close();
  size_t waiting() const;
  size_t in_flight() const;

 private:
  static constexpr size_t kShards = 8;
  using RequestPtr = std::shared_ptr<ModelRequest>;

  struct Choice {
    ResidencyCandidate candidate;
    UpstreamEntry upstream;
  };
  struct Running {
    RequestPtr request;
    Choice choice;
  };
  struct Shard {
    Shard(size_t longest, QueueOrder order) : queue(longest, order) {}
    mutable std::mutex lock;  // Guards all below.
    FairQueue queue;
    std::map<RequestId, RequestPtr> requests;  // Those that wait.
    uint64_t draw = 1;
  };

  Shard& ShardOf(const PoolId& pool);
  void Pump(Shard* shard, Millis now);
  bool PumpOne(Shard* shard, std::set<WorkspaceId>* poor, Millis now);
  std::optional<Choice> Choose(const ModelRequest& request, uint64_t draw,
                               const Catalog& catalog, Millis now);
  void NoteStall(const ModelRequest& request, bool missing, Millis now);
  bool Begin(const RequestPtr& request, const Choice& choice, Millis now);
  void Undo(const RequestPtr& request, const Choice& choice, Millis now);
  void Send(const RequestPtr& request, const Choice& choice, Millis now);
  void OnAttemptEnd(const RequestPtr& request, const Choice& choice,
                    const AttemptEnd& end);
  void EndResidency(const ModelRequestFacts& facts,
                    const ResidencyCandidate& candidate, CallResult result,
                    Millis now);
  void RetryOrFail(const RequestPtr& request, const AttemptEnd& end);
  void Requeue(const RequestPtr& request, Millis now);
  void Refuse(const RequestPtr& request, ErrorKind kind, const char* detail);
  void ExpireWaiting(Millis now);
  void UpdateWanted(Millis now);
  std::vector<WaitingForAdapter> Waiting() const;
  std::vector<Fingerprint> RunningAt(const UpstreamId& upstream) const;
  QueuedRequest ToQueued(const ModelRequest& request, Millis now) const;

  const NodeContext context_;
  FleetService* const fleet_;
  ResidencyService* const residency_;
  UpstreamTable* const upstreams_;
  LimitService* const limits_;
  const bool baseline_;  // For comparison in experiments.
  DemandSender demand_;
  CrashWatch crashes_;
  std::vector<std::unique_ptr<Shard>> shards_;
  mutable std::mutex lock_;  // Guards all below; taken after a shard's lock.
  std::map<RequestId, Running> running_;
  RetryBudget retries_;
  bool closed_ = false;
};

}  // namespace bilberrypitch
