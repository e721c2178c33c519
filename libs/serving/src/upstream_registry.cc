// Applies store records and observations to the state of the upstreams.
#include "serving/upstream_registry.h"

#include <algorithm>
#include <set>

#include "base/check.h"

namespace bilberrypitch {
namespace {

// How long a brittle upstream gets no request after it turned one away.
constexpr Millis kMinPauseAfterRejection{300};
constexpr Millis kMaxPauseAfterRejection{5000};
// Lower rates lead to the longest pause too.
constexpr double kMinRejectionsPerS = 1e-6;

constexpr Millis kInitialBackoff{150};
constexpr Millis kMaxBackoff{2000};
constexpr double kSmoothing = 0.15;  // Weight of a new observation.

// The prefill time of an engine is close to the lowest observation; higher ones
// include the time spent waiting behind other requests. The estimate still
// rises slowly, so that an engine that has become slow is recognised.
constexpr double kFallingWeight = 0.3;
constexpr double kRisingWeight = 0.04;

void TrackLowerBound(double* value, double observed) {
  double weight = observed < *value ? kFallingWeight : kRisingWeight;
  *value = *value == 0 ? observed : *value + weight * (observed - *value);
}

void UpdateAverage(double* value, double observed) {
  *value = *value == 0 ? observed : *value + kSmoothing * (observed - *value);
}

// An upstream that states a limit and is also cold gets the lower rate.
void UpdateRateLimit(UpstreamState* upstream) {
  const std::optional<double>& stated = upstream->stated_limit_per_s;
  const std::optional<double>& cold = upstream->cold_limit_per_s;
  upstream->rate_limit_per_s =
      stated && cold ? std::min(stated, cold) : (stated ? stated : cold);
}

// A start that leaves is remembered beyond the removal of its entry, which an
// older copy of the store may bring back.
constexpr Millis kLeavingStartTtl{600 * 1000};

// A peer's load report is used for this long.
constexpr Millis kPeerLoadTtl{2500};
// The owner's report about queued prompts is used for this long.
constexpr Millis kQueuedTokensTtl{500};

}  // namespace

// All of the parts may be as large as their type allows.
uint64_t UpstreamState::ReportedLoad() const {
  return uint64_t{load_report.running} + load_report.waiting +
         started_since_report;
}

uint64_t UpstreamState::TotalInFlight(Millis now) const {
  uint64_t sum = in_flight;
  for (const auto& [peer, load] : peer_loads) {
    sum += now - load.received_at < kPeerLoadTtl ? load.in_flight : 0;
  }
  return sum;
}

int64_t UpstreamState::TotalPendingPrefillTokens(Millis now) const {
  int64_t sum = pending_prefill_tokens;
  for (const auto& [peer, load] : peer_loads) {
    sum +=
        now - load.received_at < kPeerLoadTtl ? load.pending_prefill_tokens : 0;
  }
  return sum;
}

int64_t UpstreamState::QueuedPrefillTokens(Millis now) const {
  return now - queued_prefill_tokens_at < kQueuedTokensTtl
             ? queued_prefill_tokens
             : 0;
}

void UpstreamRegistry::OnPeerLoad(const UpstreamId& id, const MachineId& peer,
                                  const UpstreamState::PeerLoad& load) {
  if (UpstreamState* upstream = Find(id)) {
    upstream->peer_loads[peer] = load;
  }
}

void UpstreamRegistry::OnUnsolicitedBytes(const std::string& address,
                                          Millis now) {
  for (auto& [id, upstream] : upstreams_) {
    if (upstream->entry.address == address) {
      upstream->connection_trust.OnSign(now);
    }
  }
}

void UpstreamRegistry::OnRecord(const UpstreamRecord& record, Millis now,
                                Millis return_deadline) {
  auto upstream = upstreams_.find(record.id);
  if (!record.entry) {
    if (upstream != upstreams_.end()) {
      Remove(upstream->second.get(), now, return_deadline);
    }
    return;
  }
  const UpstreamEntry& entry = *record.entry;
  bool started = upstream == upstreams_.end() ||
                 upstream->second->membership.is_gone() ||
                 upstream->second->entry.started_ms != entry.started_ms ||
                 upstream->second->entry.address != entry.address;
  if (started) {
    // Open attempts refer to this state and will decrement its counters, so the
    // counters are kept; everything else starts anew.
    auto state = std::make_unique<UpstreamState>();
    state->evacuations = evacuations_;
    state->known_since = now;
    if (upstream != upstreams_.end()) {
      state->in_flight = upstream->second->in_flight;
      state->suspect_requests = upstream->second->suspect_requests;
      state->pending_prefill_tokens = upstream->second->pending_prefill_tokens;
      *upstream->second = std::move(*state);
    } else {
      upstream = upstreams_.emplace(record.id, std::move(state)).first;
    }
  }
  UpstreamState* state = upstream->second.get();
  state->entry = entry;
  state->membership.OnEntryPresent();
  if (started && hooks_.on_started) {
    hooks_.on_started(*state);
  }
  if (entry.draining || IsKnownToLeave(entry)) {
    SetLeaving(state, now);
  }
}

bool UpstreamRegistry::SetLeaving(UpstreamState* upstream, Millis now) {
  if (!upstream->membership.OnLeaving()) {
    return false;
  }
  std::erase_if(leaving_starts_, [now](const auto& item) {
    return now - item.second.at > kLeavingStartTtl;
  });
  leaving_starts_[upstream->entry.id] = {upstream->entry.started_ms, now};
  if (hooks_.on_unavailable) {
    hooks_.on_unavailable(upstream->entry.id);
  }
  return true;
}

// Starts that state no time can't be told apart.
bool UpstreamRegistry::IsKnownToLeave(const UpstreamEntry& entry) const {
  auto it = leaving_starts_.find(entry.id);
  return it != leaving_starts_.end() && entry.started_ms != 0 &&
         it->second.started_ms == entry.started_ms;
}

bool UpstreamRegistry::OnLeavingResponse(const UpstreamId& id, Millis sent_at,
                                         Millis now) {
  UpstreamState* upstream = Find(id);
  // A call from before may have been answered by an earlier start.
  bool is_of_start = upstream != nullptr && sent_at >= upstream->known_since;
  return is_of_start && SetLeaving(upstream, now);
}

void UpstreamRegistry::OnLeavingNews(const UpstreamId& id, int64_t started_ms,
                                     Millis now) {
  UpstreamState* upstream = Find(id);
  if (upstream != nullptr && upstream->entry.started_ms == started_ms) {
    SetLeaving(upstream, now);
  }
}

void UpstreamRegistry::OnFullRead(const std::vector<UpstreamId>& found,
                                  Millis now, Millis return_deadline) {
  std::set<UpstreamId> found_ids(found.begin(), found.end());
  for (auto& [id, state] : upstreams_) {
    if (found_ids.count(id) == 0) {
      Remove(state.get(), now, return_deadline);
    }
  }
  EraseGone();
}

void UpstreamRegistry::Remove(UpstreamState* upstream, Millis now,
                              Millis return_deadline) {
  if (upstream->membership.OnEntryMissing(return_deadline, now)) {
    OnGone(*upstream);
  }
}

void UpstreamRegistry::OnGone(const UpstreamState& upstream) {
  if (hooks_.on_unavailable) {
    hooks_.on_unavailable(upstream.entry.id);
  }
}

void UpstreamRegistry::SetReturnDeadline(Millis return_deadline) {
  for (auto& [id, state] : upstreams_) {
    state->membership.SetReturnDeadline(return_deadline);
  }
}

Millis UpstreamRegistry::ExpireMissing(Millis now) {
  Millis next;
  for (auto& [id, state] : upstreams_) {
    const UpstreamMembership& membership = state->membership;
    if (state->membership.Expire(now)) {
      OnGone(*state);
    } else if (membership.is_missing() &&
               (next == Millis(0) || membership.missing_until() < next)) {
      next = membership.missing_until();
    }
  }
  EraseGone();
  return next;
}

void UpstreamRegistry::EraseGone() {
  std::erase_if(upstreams_, [](const auto& entry) {
    return entry.second->membership.is_gone() && entry.second->in_flight == 0;
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

void UpstreamRegistry::OnAttemptStarted(UpstreamState* upstream,
                                        int64_t prompt_tokens) {
  ++upstream->in_flight;
  ++upstream->started_since_report;
  upstream->pending_prefill_tokens += prompt_tokens;
  hooks_.on_local_load_changed(upstream->entry.id);
}

void UpstreamRegistry::OnFirstEvent(UpstreamState* upstream,
                                    int64_t prompt_tokens, Millis elapsed,
                                    Millis now) {
  int64_t prefilled =
      std::max<int64_t>(1, upstream->TotalPendingPrefillTokens(now));
  TrackLowerBound(
      &upstream->first_event_ms_per_token,
      static_cast<double>(elapsed.count()) / static_cast<double>(prefilled));
  upstream->pending_prefill_tokens =
      std::max<int64_t>(0, upstream->pending_prefill_tokens - prompt_tokens);
  hooks_.on_local_load_changed(upstream->entry.id);
}

void UpstreamRegistry::OnAttemptEnded(UpstreamState* upstream,
                                      int64_t pending_tokens) {
  BP_CHECK(upstream->in_flight > 0, "an attempt must end only once");
  --upstream->in_flight;
  upstream->pending_prefill_tokens =
      std::max<int64_t>(0, upstream->pending_prefill_tokens - pending_tokens);
  hooks_.on_local_load_changed(upstream->entry.id);
}

void UpstreamRegistry::MoveSuspectRequest(UpstreamId* counted_at,
                                          const UpstreamId& to) {
  UpstreamState* previous = Find(*counted_at);
  if (previous != nullptr && previous->suspect_requests > 0) {
    --previous->suspect_requests;
  }
  if (UpstreamState* current = Find(to)) {
    ++current->suspect_requests;
  }
  *counted_at = to;
}

void UpstreamRegistry::OnLoadReport(UpstreamState* upstream,
                                    const UpstreamLoadReport& report,
                                    Millis now) {
  upstream->load_report = report;
  upstream->load_report_at = now;
  upstream->started_since_report = 0;
  upstream->capacity.OnReport(report, now);
}

bool UpstreamRegistry::OnRateLimit(UpstreamState* upstream,
                                   std::optional<double> limit_per_s,
                                   Millis sent_at, Millis now) {
  if (!limit_per_s && sent_at <= upstream->rate_limit_heard_at) {
    return false;  // The response may be older than the latest statement.
  }
  if (limit_per_s) {
    upstream->rate_limit_heard_at = now;
  }
  bool changed = upstream->stated_limit_per_s != limit_per_s;
  upstream->stated_limit_per_s = limit_per_s;
  UpdateRateLimit(upstream);
  return changed;
}

bool UpstreamRegistry::SetColdLimit(UpstreamState* upstream,
                                    std::optional<double> limit_per_s) {
  bool was_cold = upstream->IsCold();
  upstream->cold_limit_per_s = limit_per_s;
  UpdateRateLimit(upstream);
  return was_cold != upstream->IsCold();
}

void UpstreamRegistry::OnConnectFailure(UpstreamState* upstream, Millis now) {
  Millis backoff = kInitialBackoff *
                   (int64_t{1} << std::min(upstream->connect_failures, 4U));
  ++upstream->connect_failures;
  upstream->backoff_until = now + std::min(backoff, kMaxBackoff);
}

bool UpstreamState::HasRoomIfBrittle(Millis now) const {
  if (!bearable_rejections_per_s) {
    return true;
  }
  uint64_t busy = std::max(ReportedLoad(), TotalInFlight(now));
  return now >= rejected_until && busy < entry.slots;
}

bool UpstreamRegistry::OnBrittle(UpstreamState* upstream,
                                 std::optional<double> rejections_per_s,
                                 Millis sent_at, Millis now) {
  if (!rejections_per_s && sent_at <= upstream->brittle_heard_at) {
    return false;  // The response may be older than the latest statement.
  }
  if (rejections_per_s) {
    upstream->brittle_heard_at = now;
  }
  return std::exchange(upstream->bearable_rejections_per_s, rejections_per_s) !=
         rejections_per_s;
}

void UpstreamRegistry::OnRejection(UpstreamState* upstream, size_t instances,
                                   Millis now) {
  if (!upstream->bearable_rejections_per_s) {
    return;
  }
  // Each instance has an equal part of half of what the upstream bears.
  double per_s = *upstream->bearable_rejections_per_s / 2 /
                 static_cast<double>(std::max<size_t>(1, instances));
  constexpr double kMsPerSecond = 1000;
  double pause_ms = kMsPerSecond / std::max(per_s, kMinRejectionsPerS);
  upstream->rejected_until =
      now + std::clamp(Millis(static_cast<int64_t>(pause_ms)),
                       kMinPauseAfterRejection, kMaxPauseAfterRejection);
}

void UpstreamRegistry::OnAttemptResult(UpstreamState* upstream, bool failed,
                                       std::optional<Millis> elapsed) {
  upstream->connect_failures = 0;
  upstream->backoff_until = Millis(0);
  upstream->failure_rate +=
      kSmoothing * ((failed ? 1.0 : 0.0) - upstream->failure_rate);
  if (!failed && elapsed) {
    UpdateAverage(&upstream->latency_ms, static_cast<double>(elapsed->count()));
  }
}

}  // namespace bilberrypitch
