// The state of upstreams.
#include "node/upstream_table.h"

#include <algorithm>
#include <cstdlib>

#include "base/check.h"
#include "base/hash.h"
#include "config/catalog.h"
#include "membership/pause_detector.h"

namespace bilberrypitch {
namespace {

constexpr Millis kPollPeriod{250};
constexpr Millis kPollDeadline{1000};
// Most that one instance puts on one upstream, in batches.
constexpr uint32_t kMostBatches = 2;
constexpr char kRunning[] = "num_requests_running";
constexpr char kWaiting[] = "num_requests_waiting";

// The value on the line of a metrics page whose name ends in `name`.
double MetricIn(const std::string& page, const char* name) {
  size_t at = page.find(name);
  if (at == std::string::npos) {
    return 0;
  }
  size_t space = page.find(' ', at);
  return space == std::string::npos
             ? 0
             : std::strtod(page.c_str() + space + 1, nullptr);
}

}  // namespace

UpstreamTable::UpstreamTable(const NodeContext& context) : context_(context) {}

UpstreamTable::Shard& UpstreamTable::ShardOf(const UpstreamId& id) {
  return shards_[StableHash(id.str()) % kShards];
}

const UpstreamTable::Shard& UpstreamTable::ShardOf(const UpstreamId& id) const {
  return shards_[StableHash(id.str()) % kShards];
}

void UpstreamTable::Tick(Millis now, const std::set<UpstreamId>& leaving) {
  {
    std::lock_guard lock(lock_);
    leaving_ = leaving;
    if (now < next_poll_) {
      return;
    }
    next_poll_ = now + kPollPeriod;
  }
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  if (catalog == nullptr) {
    return;
  }
  for (const UpstreamEntry& it : catalog->upstreams()) {
    if (it.kind == UpstreamKind::kEngine) {
      Poll(it);
    }
  }
}

void UpstreamTable::OnPollSent(const UpstreamId& upstream) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  State& state = shard.states[upstream];
  state.in_flight_at_poll = state.in_flight;
}

void UpstreamTable::OnReport(const UpstreamId& upstream, double running) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  State& state = shard.states[upstream];
  state.reported = running;
  state.in_flight_at_report = state.in_flight_at_poll;
}

void UpstreamTable::Poll(const UpstreamEntry& upstream) {
  {
    Shard& shard = ShardOf(upstream.id);
    std::lock_guard lock(shard.lock);
    State& state = shard.states[upstream.id];
    if (state.polling) {
      return;
    }
    state.polling = true;
  }
  OnPollSent(upstream.id);
  HttpCall call;
  call.address = upstream.address;
  call.target = "/metrics";
  call.deadlines = {kPollDeadline, kPollDeadline, kPollDeadline, kPollDeadline};
  call.on_done = [this, id = upstream.id](CallOutcome outcome) {
    OnProbe(id, outcome.result, BootTimeNow());
    if (outcome.result == CallResult::kComplete && outcome.status == 200) {
      OnReport(id, MetricIn(outcome.body, kRunning) +
                       MetricIn(outcome.body, kWaiting));
    }
    Shard& shard = ShardOf(id);
    std::lock_guard lock(shard.lock);
    shard.states[id].polling = false;
  };
  context_.http->Start(std::move(call));
}

bool UpstreamTable::IsLeaving(const UpstreamEntry& upstream) const {
  if (upstream.leaving) {
    return true;
  }
  std::lock_guard lock(lock_);
  return leaving_.count(upstream.id) != 0;
}

UpstreamLoad UpstreamTable::LoadOf(const UpstreamEntry& upstream,
                                   Millis now) const {
  UpstreamLoad load;
  load.upstream = upstream.id;
  load.batch_slots = std::max<uint32_t>(upstream.batch_slots, 1);
  load.same_zone = upstream.zone == context_.zone;
  uint32_t most = load.batch_slots * kMostBatches;
  load.allowed = most;
  const Shard& shard = ShardOf(upstream.id);
  {
    std::lock_guard lock(shard.lock);
    auto it = shard.states.find(upstream.id);
    if (it != shard.states.end()) {
      load.reported = it->second.reported;
      // What this instance has there now beyond what the report counted.
      const State& state = it->second;
      load.own_since = state.in_flight -
                       std::min(state.in_flight, state.in_flight_at_report);
      load.own_in_flight = it->second.in_flight;
      load.allowed = it->second.health.Allowed(most, now);
    }
  }
  if (IsLeaving(upstream)) {
    load.allowed = 0;
  }
  return load;
}

void UpstreamTable::Begin(const UpstreamId& upstream) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  State& state = shard.states[upstream];
  ++state.in_flight;
}

void UpstreamTable::End(const UpstreamId& upstream) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  State& state = shard.states[upstream];
  BP_CHECK(state.in_flight > 0, "every End has its Begin");
  --state.in_flight;
}

void UpstreamTable::OnResult(const UpstreamId& upstream, CallResult result,
                             Millis now) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  UpstreamHealth& health = shard.states[upstream].health;
  if (SurelyNotSent(result)) {
    health.OnConnectFailure(now);
  } else if (result == CallResult::kComplete) {
    health.OnAnswer(now);
  } else {
    health.OnBroken();
  }
}

void UpstreamTable::OnProbe(const UpstreamId& upstream, CallResult result,
                            Millis now) {
  Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  UpstreamHealth& health = shard.states[upstream].health;
  if (SurelyNotSent(result)) {
    health.OnConnectFailure(now);
  } else if (result == CallResult::kComplete && health.down()) {
    health.OnAnswer(now);
  }
}

bool UpstreamTable::IsDown(const UpstreamId& upstream, Millis now) const {
  const Shard& shard = ShardOf(upstream);
  std::lock_guard lock(shard.lock);
  auto it = shard.states.find(upstream);
  return it != shard.states.end() && it->second.health.IsDown(now);
}

}  // namespace bilberrypitch
