// Ordering and admission of prompts, and the estimate of the prefill speed.
#include "serving/prefill_queue.h"

#include <algorithm>

#include "base/check.h"
#include "serving/token_count.h"

namespace bilberrypitch {
namespace {

// Share of the event gap available for prefill; the rest is for decoding.
constexpr double kPrefillShare = 0.85;
// Requests that still wait are renewed more often than this.
constexpr Millis kRequestTtl{800};
// A grant expires after this time, as the message that releases it may be lost.
constexpr Millis kGrantTtl{2500};
// Weight of a new observation in the moving average, and the fewest tokens for
// which an observation is used: for fewer, the time is mostly that of the
// engine's step.
constexpr double kSmoothing = 0.08;
constexpr int64_t kMinTokensForEstimate = 800;
constexpr double kMinMsPerToken = 0.005;
constexpr double kMaxMsPerToken = 1;

}  // namespace

void PrefillQueue::OnRequest(const PrefillRequest& request, Millis now) {
  if (granted_.count(request.id) > 0) {
    repeated_grants_.push_back(request.id);
    return;
  }
  auto has_same_id = [&](const Waiting& waiting) {
    return waiting.request.id == request.id;
  };
  auto known = std::find_if(waiting_.begin(), waiting_.end(), has_same_id);
  if (known != waiting_.end()) {
    known->renewed_at = now;
    return;
  }
  auto position =
      std::upper_bound(waiting_.begin(), waiting_.end(), request.priority,
                       [](int priority, const Waiting& waiting) {
                         return priority < waiting.request.priority;
                       });
  auto added = waiting_.insert(position, {request, now, now});
  added->request.tokens = BoundTokens(request.tokens);
}

void PrefillQueue::OnRelease(const PrefillRequestId& id, bool prefilled,
                             Millis now) {
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    return waiting.request.id == id;
  });
  auto grant = granted_.find(id);
  if (grant == granted_.end()) {
    return;
  }
  if (prefilled && grant->second.tokens_until_done >= kMinTokensForEstimate) {
    double observed =
        static_cast<double>((now - grant->second.granted_at).count()) /
        static_cast<double>(grant->second.tokens_until_done);
    observed = std::clamp(observed, kMinMsPerToken, kMaxMsPerToken);
    ms_per_token_ += kSmoothing * (observed - ms_per_token_);
  }
  Release(grant);
}

std::map<PrefillRequestId, PrefillQueue::Granted>::iterator
PrefillQueue::Release(std::map<PrefillRequestId, Granted>::iterator grant) {
  granted_tokens_ -= grant->second.tokens;
  BP_CHECK(granted_tokens_ >= 0,
           "released prefill tokens must not exceed the granted ones");
  return granted_.erase(grant);
}

void PrefillQueue::OnMachineRemoved(const MachineId& machine) {
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    return waiting.request.id.machine == machine;
  });
  for (auto it = granted_.begin(); it != granted_.end();) {
    it = it->first.machine == machine ? Release(it) : std::next(it);
  }
}

void PrefillQueue::DropExpired(Millis now) {
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    return now - waiting.renewed_at >= kRequestTtl;
  });
  for (auto it = granted_.begin(); it != granted_.end();) {
    bool expired = now - it->second.granted_at >= kGrantTtl;
    it = expired ? Release(it) : std::next(it);
  }
}

bool PrefillQueue::Fits(int64_t tokens) const {
  if (max_event_gap_ == Millis(0) || granted_tokens_ == 0) {
    return true;
  }
  auto sum = static_cast<double>(granted_tokens_ + tokens);
  auto bound = kPrefillShare * static_cast<double>(max_event_gap_.count());
  return ms_per_token_ * sum <= bound;
}

std::vector<PrefillRequestId> PrefillQueue::TakeGrants(Millis now) {
  DropExpired(now);
  std::vector<PrefillRequestId> grants = std::move(repeated_grants_);
  repeated_grants_.clear();
  // If the first prompt does not fit, those behind it have to wait too.
  // Otherwise small prompts would overtake a large one forever.
  while (!waiting_.empty() && Fits(waiting_.front().request.tokens)) {
    const PrefillRequest& request = waiting_.front().request;
    granted_tokens_ += request.tokens;
    granted_[request.id] = {request.tokens, granted_tokens_, now};
    grants.push_back(request.id);
    waiting_.erase(waiting_.begin());
  }
  return grants;
}

Millis PrefillQueue::NextWakeup(Millis now) const {
  Millis due;
  auto consider = [&](Millis at) {
    due = due == Millis(0) ? at : std::min(due, at);
  };
  for (const Waiting& waiting : waiting_) {
    consider(waiting.renewed_at + kRequestTtl);
  }
  if (!waiting_.empty()) {
    for (const auto& [id, grant] : granted_) {
      consider(grant.granted_at + kGrantTtl);
    }
  }
  return due == Millis(0) ? due : std::max(due, now + Millis(1));
}

bool PrefillQueue::IsWaiting(const PrefillRequestId& id) const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [&](const auto& waiting) { return waiting.request.id == id; });
}

int64_t PrefillQueue::queued_tokens() const {
  int64_t sum = 0;
  for (const Waiting& waiting : waiting_) {
    sum += waiting.request.tokens;
  }
  return sum;
}

}  // namespace bilberrypitch
