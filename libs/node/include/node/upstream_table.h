// What this instance knows of each upstream: health, reported load, its own
// requests in flight there. Sharded by upstream, each shard under its own lock.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dispatch/upstream_choice.h"
#include "dispatch/upstream_health.h"
#include "node/node_context.h"
#include "transport/http_client.h"

namespace bilberrypitch {

struct UpstreamEntry;

// Thread-safe.
class UpstreamTable {
 public:
  explicit UpstreamTable(const NodeContext& context);

  // Polls the load of the engines. `leaving`: told by the platform's list.
  void Tick(Millis now, const std::set<UpstreamId>& leaving);

  // What the choice needs to know of `upstream`; `allowed` is 0 while it is
  // down or leaving.
  UpstreamLoad LoadOf(const UpstreamEntry& upstream, Millis now) const;
  void Begin(const UpstreamId& upstream);
  void End(const UpstreamId& upstream);
  // A poll of the upstream's load is sent, and its answer came.
  void OnPollSent(const UpstreamId& upstream);
  void OnReport(const UpstreamId& upstream, double running);
  void OnResult(const UpstreamId& upstream, CallResult result, Millis now);
  // The outcome of a call that carried no request.
  void OnProbe(const UpstreamId& upstream, CallResult result, Millis now);
  bool IsDown(const UpstreamId& upstream, Millis now) const;
  bool IsLeaving(const UpstreamEntry& upstream) const;

 private:
  static constexpr size_t kShards = 16;
  struct State {
    UpstreamHealth health;
    double reported = 0;
    uint32_t in_flight = 0;
    uint32_t in_flight_at_poll = 0;    // When the last poll was sent.
    uint32_t in_flight_at_report = 0;  // When that of the report was sent.
    bool polling = false;
  };
  struct Shard {
    mutable std::mutex lock;  // Guards the states.
    std::map<UpstreamId, State> states;
  };

  Shard& ShardOf(const UpstreamId& id);
  const Shard& ShardOf(const UpstreamId& id) const;
  void Poll(const UpstreamEntry& upstream);

  const NodeContext context_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex lock_;  // Guards all below.
  std::set<UpstreamId> leaving_;
  Millis next_poll_;
};

}  // namespace bilberrypitch
