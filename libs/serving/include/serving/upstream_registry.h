// The upstreams that exist, and what this instance has seen of each.
//
// An upstream whose entry is removed while the store has just come back from an
// outage gets a time to come back: its lease may have run out meanwhile.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "serving/request.h"
#include "serving/store_record.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

// One upstream. `entry` is the store's word; the rest is this instance's own.
struct UpstreamState {
  UpstreamEntry entry;
  bool removed = false;  // Gets nothing new; kept while requests are open.
  Millis removal_due;  // Not zero: will be gone then unless its entry returns.

  // What another instance has on its way there, as it last said.
  struct PeerLoad {
    uint32_t in_flight = 0;
    int64_t pending_prefill_tokens = 0;
    Millis received_at;
  };

  uint32_t in_flight = 0;  // Requests of this instance.
  // Requests under which a connection broke before, running here or waiting
  // for this upstream.
  uint32_t suspect_requests = 0;
  int64_t pending_prefill_tokens =
      0;  // Prompt tokens of those without an event yet.
  UpstreamLoadReport load_report;  // As it last said, over all instances.
  Millis load_report_at;
  uint32_t started_since_report = 0;
  double first_event_ms_per_token = 0;  // Smoothed; 0: not seen yet.
  double latency_ms = 0;                // Smoothed; plain services.
  double failure_rate = 0;              // Smoothed, 0 to 1.
  uint32_t connect_failures = 0;        // In a row.
  Millis backoff_until;                 // No connection could be made.
  int idle_timeout_s = 0;               // It keeps idle connections this long.
  std::map<MachineId, PeerLoad> peer_loads;
  // Prompts that wait for it at its owner, as it last said.
  int64_t queued_prefill_tokens = 0;
  Millis queued_prefill_tokens_at;
  Millis slots_full_until;  // Its owner said that it has no place for adapters.

  // Over this instance and the peers heard of lately.
  uint32_t TotalInFlight(Millis now) const;
  int64_t TotalPendingPrefillTokens(Millis now) const;
  int64_t QueuedPrefillTokens(Millis now) const;
  bool IsUsable(Millis now) const {
    return !removed && !entry.draining &&
           (removal_due == Millis(0) || now < removal_due);
  }
};

class UpstreamRegistry {
 public:
  struct Hooks {
    // An upstream is new or has started again: it holds nothing known.
    std::function<void(const UpstreamState&)> on_started;
    // It leaves, or is gone: nothing new may go there.
    std::function<void(const UpstreamId&)> on_unavailable;
    // What this instance has on its way there has changed.
    std::function<void(const UpstreamId&)> on_local_load_changed;
  };

  explicit UpstreamRegistry(Hooks hooks) : hooks_(std::move(hooks)) {}

  // `settling`: the store was away until shortly before; `now + hold` is when
  // a missing entry is taken as gone.
  void OnRecord(const UpstreamRecord& record, Millis now, bool settling);
  // After a whole list was read: those not in it are missing.
  void OnFullRead(const std::vector<UpstreamId>& listed, Millis now,
                  bool settling);
  // Takes as gone what did not come back in time. Returns when to call again;
  // zero: not before the next record.
  Millis ExpireMissing(Millis now);

  // Null: not known.
  UpstreamState* Find(const UpstreamId& id);
  std::vector<UpstreamState*> UsableOf(const ServiceId& service, Millis now);
  const std::map<UpstreamId, std::unique_ptr<UpstreamState>>& all() const {
    return upstreams_;
  }

  void OnPeerLoad(const UpstreamId& id, const MachineId& peer,
                  const UpstreamState::PeerLoad& load);
  // An attempt begins and ends.
  void OnAttemptStarted(UpstreamState* it, int64_t prompt_tokens);
  void OnFirstEvent(UpstreamState* it, int64_t prompt_tokens, Millis took,
                    Millis now);
  void OnAttemptEnded(UpstreamState* it, int64_t unread_tokens);
  // A suspect that counted at `*at` counts at `to`; empty: nowhere.
  void MoveSuspectRequest(UpstreamId* at, const UpstreamId& to);
  void OnLoadReport(UpstreamState* it, const UpstreamLoadReport& load,
                    Millis now);
  void OnConnectFailure(UpstreamState* it, Millis now);
  // An answer came (`failed`: of the upstream's own failure) or broke off.
  void OnAttemptResult(UpstreamState* it, bool failed, Millis took);

 private:
  void Remove(UpstreamState* it, Millis now, bool settling);
  void MarkGone(UpstreamState* it);
  void Forget();

  const Hooks hooks_;
  std::map<UpstreamId, std::unique_ptr<UpstreamState>> upstreams_;
};

}  // namespace bilberrypitch
