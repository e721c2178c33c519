// Upstreams by id.
#include "serving/upstream_book.h"

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

uint32_t UpstreamState::AllInFlight(Millis now) const {
  uint32_t sum = in_flight;
  for (const auto& [peer, it] : peer_loads) {
    sum += now - it.at < kPeerLoadLife ? it.in_flight : 0;
  }
  return sum;
}

int64_t UpstreamState::AllTokensUnread(Millis now) const {
  int64_t sum = tokens_unread;
  for (const auto& [peer, it] : peer_loads) {
    sum += now - it.at < kPeerLoadLife ? it.tokens_unread : 0;
  }
  return sum;
}

int64_t UpstreamState::TokensWaiting(Millis now) const {
  return now - tokens_waiting_at < kWaitingLife ? tokens_waiting : 0;
}

void UpstreamBook::OnPeerLoad(const UpstreamId& id, const MachineId& peer,
                              const UpstreamState::PeerLoad& load) {
  if (UpstreamState* it = Find(id)) {
    it->peer_loads[peer] = load;
  }
}

void UpstreamBook::OnRecord(const UpstreamRecord& record, Millis now,
                            bool settling) {
  auto it = upstreams_.find(record.id);
  if (!record.entry) {
    if (it != upstreams_.end()) {
      Remove(it->second.get(), now, settling);
    }
    return;
  }
  const ListedUpstream& entry = *record.entry;
  bool started = it == upstreams_.end() || it->second->gone ||
                 it->second->entry.started_ms != entry.started_ms ||
                 it->second->entry.address != entry.address;
  if (started) {
    // Attempts that are open keep what they count on the old state out of it.
    auto state = std::make_unique<UpstreamState>();
    if (it != upstreams_.end()) {
      state->in_flight = it->second->in_flight;
      state->suspects = it->second->suspects;
      state->tokens_unread = it->second->tokens_unread;
      *it->second = std::move(*state);
    } else {
      it = upstreams_.emplace(record.id, std::move(state)).first;
    }
  }
  UpstreamState* state = it->second.get();
  bool leaves = entry.draining && (started || !state->entry.draining);
  state->entry = entry;
  state->gone = false;
  state->gone_at = Millis(0);
  if (started && hooks_.on_started) {
    hooks_.on_started(*state);
  }
  if (leaves && hooks_.on_left) {
    hooks_.on_left(record.id);
  }
}

void UpstreamBook::OnListed(const std::vector<UpstreamId>& listed, Millis now,
                            bool settling) {
  std::set<UpstreamId> present(listed.begin(), listed.end());
  for (auto& [id, state] : upstreams_) {
    if (present.count(id) == 0) {
      Remove(state.get(), now, settling);
    }
  }
  Forget();
}

void UpstreamBook::Remove(UpstreamState* it, Millis now, bool settling) {
  if (it->gone) {
    return;
  }
  if (!settling || it->entry.draining) {
    MarkGone(it);
  } else if (it->gone_at == Millis(0)) {
    it->gone_at = now + kReturnTime;
  }
}

void UpstreamBook::MarkGone(UpstreamState* it) {
  it->gone = true;
  if (hooks_.on_left) {
    hooks_.on_left(it->entry.id);
  }
}

Millis UpstreamBook::Expire(Millis now) {
  Millis next;
  for (auto& [id, state] : upstreams_) {
    if (state->gone || state->gone_at == Millis(0)) {
      continue;
    }
    if (now >= state->gone_at) {
      MarkGone(state.get());
    } else if (next == Millis(0) || state->gone_at < next) {
      next = state->gone_at;
    }
  }
  Forget();
  return next;
}

void UpstreamBook::Forget() {
  std::erase_if(upstreams_, [](const auto& it) {
    return it.second->gone && it.second->in_flight == 0;
  });
}

UpstreamState* UpstreamBook::Find(const UpstreamId& id) {
  auto it = upstreams_.find(id);
  return it == upstreams_.end() ? nullptr : it->second.get();
}

std::vector<UpstreamState*> UpstreamBook::UsableOf(const ServiceId& service,
                                                   Millis now) {
  std::vector<UpstreamState*> usable;
  for (auto& [id, state] : upstreams_) {
    if (state->entry.service == service && state->Usable(now)) {
      usable.push_back(state.get());
    }
  }
  return usable;
}

void UpstreamBook::OnBegin(UpstreamState* it, int64_t prompt_tokens) {
  ++it->in_flight;
  ++it->begun_since_load;
  it->tokens_unread += prompt_tokens;
  hooks_.on_load(it->entry.id);
}

void UpstreamBook::OnFirstEvent(UpstreamState* it, int64_t prompt_tokens,
                                Millis took, Millis now) {
  int64_t read = std::max<int64_t>(1, it->AllTokensUnread(now));
  FollowLow(&it->first_event_ms_per_token,
            static_cast<double>(took.count()) / static_cast<double>(read));
  it->tokens_unread = std::max<int64_t>(0, it->tokens_unread - prompt_tokens);
  hooks_.on_load(it->entry.id);
}

void UpstreamBook::OnEnd(UpstreamState* it, int64_t unread_tokens) {
  BP_CHECK(it->in_flight > 0, "an attempt ends once");
  --it->in_flight;
  it->tokens_unread = std::max<int64_t>(0, it->tokens_unread - unread_tokens);
  hooks_.on_load(it->entry.id);
}

void UpstreamBook::MoveSuspect(UpstreamId* at, const UpstreamId& to) {
  UpstreamState* before = Find(*at);
  if (before != nullptr && before->suspects > 0) {
    --before->suspects;
  }
  if (UpstreamState* after = Find(to)) {
    ++after->suspects;
  }
  *at = to;
}

void UpstreamBook::OnLoad(UpstreamState* it, const UpstreamLoadReport& load,
                          Millis now) {
  it->load = load;
  it->load_at = now;
  it->begun_since_load = 0;
}

void UpstreamBook::OnConnectFailure(UpstreamState* it, Millis now) {
  Millis wait =
      kFirstAvoid * (int64_t{1} << std::min(it->connect_failures, 4U));
  ++it->connect_failures;
  it->avoid_until = now + std::min(wait, kLongestAvoid);
}

void UpstreamBook::OnResult(UpstreamState* it, bool failed, Millis took) {
  it->connect_failures = 0;
  it->avoid_until = Millis(0);
  it->failure_share += kSmoothing * ((failed ? 1.0 : 0.0) - it->failure_share);
  if (!failed) {
    Smooth(&it->latency_ms, static_cast<double>(took.count()));
  }
}

}  // namespace bilberrypitch
