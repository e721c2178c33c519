// Upstreams by id.
#include "serving/upstream_registry.h"

#include <algorithm>
#include <set>

#include "base/check.h"

namespace bilberrypitch {
namespace {

// How long a missing entry may take to come back after the store has.
constexpr Millis kReturnTime{2000};
constexpr Millis kFirstAvoid{150};
constexpr Millis kLongestAvoid{2000};
constexpr double kSmoothing = 0.15;  // Weight of one more observation.

// An engine's reading time is near the lowest that is seen: a higher one holds
// the waiting behind requests of others. It rises slowly, so that an engine
// that has become slow shows.
constexpr double kFalling = 0.3;
constexpr double kRising = 0.04;

void FollowLow(double* value, double seen) {
  double weight = seen < *value ? kFalling : kRising;
  *value = *value == 0 ? seen : *value + weight * (seen - *value);
}

void Smooth(double* value, double seen) {
  *value = *value == 0 ? seen : *value + kSmoothing * (seen - *value);
}

// A peer's word about its load holds for so long.
constexpr Millis kPeerLoadLife{2500};
// The owner's word about prompts that wait.
constexpr Millis kWaitingLife{500};

}  // namespace

uint32_t UpstreamState::TotalInFlight(Millis now) const {
  uint32_t sum = in_flight;
  for (const auto& [peer, it] : peer_loads) {
    sum += now - it.received_at < kPeerLoadLife ? it.in_flight : 0;
  }
  return sum;
}

int64_t UpstreamState::TotalPendingPrefillTokens(Millis now) const {
  int64_t sum = pending_prefill_tokens;
  for (const auto& [peer, it] : peer_loads) {
    sum += now - it.received_at < kPeerLoadLife ? it.pending_prefill_tokens : 0;
  }
  return sum;
}

int64_t UpstreamState::QueuedPrefillTokens(Millis now) const {
  return now - queued_prefill_tokens_at < kWaitingLife ? queued_prefill_tokens
                                                       : 0;
}

void UpstreamRegistry::OnPeerLoad(const UpstreamId& id, const MachineId& peer,
                                  const UpstreamState::PeerLoad& load) {
  if (UpstreamState* it = Find(id)) {
    it->peer_loads[peer] = load;
  }
}

void UpstreamRegistry::OnRecord(const UpstreamRecord& record, Millis now,
                                bool settling) {
  auto it = upstreams_.find(record.id);
  if (!record.entry) {
    if (it != upstreams_.end()) {
      Remove(it->second.get(), now, settling);
    }
    return;
  }
  const UpstreamEntry& entry = *record.entry;
  bool started = it == upstreams_.end() || it->second->removed ||
                 it->second->entry.started_ms != entry.started_ms ||
                 it->second->entry.address != entry.address;
  if (started) {
    // Attempts that are open keep what they count on the old state out of it.
    auto state = std::make_unique<UpstreamState>();
    if (it != upstreams_.end()) {
      state->in_flight = it->second->in_flight;
      state->suspect_requests = it->second->suspect_requests;
      state->pending_prefill_tokens = it->second->pending_prefill_tokens;
      *it->second = std::move(*state);
    } else {
      it = upstreams_.emplace(record.id, std::move(state)).first;
    }
  }
  UpstreamState* state = it->second.get();
  bool leaves = entry.draining && (started || !state->entry.draining);
  state->entry = entry;
  state->removed = false;
  state->removal_due = Millis(0);
  if (started && hooks_.on_started) {
    hooks_.on_started(*state);
  }
  if (leaves && hooks_.on_unavailable) {
    hooks_.on_unavailable(record.id);
  }
}

void UpstreamRegistry::OnFullRead(const std::vector<UpstreamId>& listed,
                                  Millis now, bool settling) {
  std::set<UpstreamId> present(listed.begin(), listed.end());
  for (auto& [id, state] : upstreams_) {
    if (present.count(id) == 0) {
      Remove(state.get(), now, settling);
    }
  }
  Forget();
}

void UpstreamRegistry::Remove(UpstreamState* it, Millis now, bool settling) {
  if (it->removed) {
    return;
  }
  if (!settling || it->entry.draining) {
    MarkGone(it);
  } else if (it->removal_due == Millis(0)) {
    it->removal_due = now + kReturnTime;
  }
}

void UpstreamRegistry::MarkGone(UpstreamState* it) {
  it->removed = true;
  if (hooks_.on_unavailable) {
    hooks_.on_unavailable(it->entry.id);
  }
}

Millis UpstreamRegistry::ExpireMissing(Millis now) {
  Millis next;
  for (auto& [id, state] : upstreams_) {
    if (state->removed || state->removal_due == Millis(0)) {
      continue;
    }
    if (now >= state->removal_due) {
      MarkGone(state.get());
    } else if (next == Millis(0) || state->removal_due < next) {
      next = state->removal_due;
    }
  }
  Forget();
  return next;
}

void UpstreamRegistry::Forget() {
  std::erase_if(upstreams_, [](const auto& it) {
    return it.second->removed && it.second->in_flight == 0;
  });
}

UpstreamState* UpstreamRegistry::Find(const UpstreamId& id) {
  auto it = upstreams_.find(id);
  return it == upstreams_.end() ? nullptr : it->second.get();
}

std::vector<UpstreamState*> UpstreamRegistry::UsableOf(const ServiceId& service,
                                                       Millis now) {
  std::vector<UpstreamState*> usable;
  for (auto& [id, state] : upstreams_) {
    if (state->entry.service == service && state->IsUsable(now)) {
      usable.push_back(state.get());
    }
  }
  return usable;
}

void UpstreamRegistry::OnAttemptStarted(UpstreamState* it,
                                        int64_t prompt_tokens) {
  ++it->in_flight;
  ++it->started_since_report;
  it->pending_prefill_tokens += prompt_tokens;
  hooks_.on_local_load_changed(it->entry.id);
}

void UpstreamRegistry::OnFirstEvent(UpstreamState* it, int64_t prompt_tokens,
                                    Millis took, Millis now) {
  int64_t read = std::max<int64_t>(1, it->TotalPendingPrefillTokens(now));
  FollowLow(&it->first_event_ms_per_token,
            static_cast<double>(took.count()) / static_cast<double>(read));
  it->pending_prefill_tokens =
      std::max<int64_t>(0, it->pending_prefill_tokens - prompt_tokens);
  hooks_.on_local_load_changed(it->entry.id);
}

void UpstreamRegistry::OnAttemptEnded(UpstreamState* it,
                                      int64_t unread_tokens) {
  BP_CHECK(it->in_flight > 0, "an attempt ends once");
  --it->in_flight;
  it->pending_prefill_tokens =
      std::max<int64_t>(0, it->pending_prefill_tokens - unread_tokens);
  hooks_.on_local_load_changed(it->entry.id);
}

void UpstreamRegistry::MoveSuspectRequest(UpstreamId* at,
                                          const UpstreamId& to) {
  UpstreamState* before = Find(*at);
  if (before != nullptr && before->suspect_requests > 0) {
    --before->suspect_requests;
  }
  if (UpstreamState* after = Find(to)) {
    ++after->suspect_requests;
  }
  *at = to;
}

void UpstreamRegistry::OnLoadReport(UpstreamState* it,
                                    const UpstreamLoadReport& load,
                                    Millis now) {
  it->load_report = load;
  it->load_report_at = now;
  it->started_since_report = 0;
}

void UpstreamRegistry::OnConnectFailure(UpstreamState* it, Millis now) {
  Millis wait =
      kFirstAvoid * (int64_t{1} << std::min(it->connect_failures, 4U));
  ++it->connect_failures;
  it->backoff_until = now + std::min(wait, kLongestAvoid);
}

void UpstreamRegistry::OnAttemptResult(UpstreamState* it, bool failed,
                                       Millis took) {
  it->connect_failures = 0;
  it->backoff_until = Millis(0);
  it->failure_rate += kSmoothing * ((failed ? 1.0 : 0.0) - it->failure_rate);
  if (!failed) {
    Smooth(&it->latency_ms, static_cast<double>(took.count()));
  }
}

}  // namespace bilberrypitch
