// Waiting of a request before it is sent: for its adapter to be loaded on an
// engine, and for the prefill of its prompt to be granted there. Waiting for a
// permit is in request_permits.cc.
#include <algorithm>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// Interval at which the engine is chosen again and the load request repeated.
constexpr Millis kLoadRequestInterval{150};
// An adapter that is loading is expected within this time; after it the load is
// requested again.
constexpr Millis kLoadingTimeout{400};
// Delay before another engine is chosen when one has no free slot.
constexpr Millis kSlotsFullRetryDelay{15};
// A request reserves the next free slot after a third of its event timeout.
constexpr int64_t kReserveSlotDivisor = 3;
// How long an engine that had no free slot is ranked lower.
constexpr Millis kSlotsFullBackoff{250};
// Time within which the owner of an engine responds to a prefill request, and
// interval at which a queued prefill request is renewed.
constexpr Millis kPrefillRenewalInterval{120};
// How often an engine without an owner is checked for room for the prefill.
constexpr Millis kPrefillPollInterval{20};
// A request with less than a third of its event timeout left does not wait for
// its prefill to be granted.
constexpr int64_t kUrgentDivisor = 3;

}  // namespace

// Starts the attempt when the owner of the engine grants the prefill, or at
// once if no grant is needed or the request is close to its event timeout.
void RequestHandler::SendWhenPrefillGranted(UpstreamState* upstream) {
  Millis now = EventLoop::Now();
  if (!HasPermit(*upstream)) {
    AskForPermit(*upstream);
    return;
  }
  if (upstream->rate_limit_per_s && now < permit_turn_at_) {
    auto self = shared_from_this();
    wait_timer_.Start(permit_turn_at_ - now, [self] { self->Dispatch(); });
    return;
  }
  Millis max_event_gap = config_->MaxEventGapOf(service_);
  Millis left = EventTimeout() - (now - arrived_at_);
  bool urgent = left.count() * kUrgentDivisor < EventTimeout().count();
  if (max_event_gap == Millis(0) || PromptTokens() == 0 || urgent) {
    StartAttempt(upstream);
    return;
  }
  RequestPrefill(upstream->entry.id);
  if (prefill_request_number_ != 0) {
    auto self = shared_from_this();
    wait_timer_.Start(kPrefillRenewalInterval,
                      [self] { self->OnPrefillWaitElapsed(); });
    return;
  }
  // There is no owner: decide by what this instance knows of the engine's load.
  if (CanStartPrefill(*upstream, PromptTokens(), max_event_gap, now)) {
    StartAttempt(upstream);
    return;
  }
  auto self = shared_from_this();
  wait_timer_.Start(kPrefillPollInterval, [self] { self->Dispatch(); });
}

void RequestHandler::RequestPrefill(const UpstreamId& engine) {
  if (prefill_request_number_ != 0 && prefill_engine_ == engine) {
    deps_->hooks.renew_prefill_request(prefill_request_number_);
    return;
  }
  ReleasePrefill(false);
  auto self = shared_from_this();
  prefill_engine_ = engine;
  prefill_request_number_ = deps_->hooks.request_prefill(
      engine, request_.model, PromptTokens(), Priority(),
      [self] { self->OnPrefillGranted(); });
}

void RequestHandler::OnPrefillGranted() {
  if (finished_ || call_id_ != 0 || prefill_request_number_ == 0) {
    return;
  }
  wait_timer_.Cancel();
  UpstreamState* upstream = state_->upstreams.Find(prefill_engine_);
  bool usable = upstream != nullptr && upstream->IsUsable(EventLoop::Now());
  if (!usable) {
    ReleasePrefill(false);
    Dispatch();
    return;
  }
  if (Revalidate()) {
    StartAttempt(upstream);
  }
}

// The prefill was not granted in time. If the owner has responded, the request
// is queued, and another engine may be the better choice by now. If it has not,
// the attempt starts without a grant.
void RequestHandler::OnPrefillWaitElapsed() {
  if (finished_ || call_id_ != 0) {
    return;
  }
  if (deps_->hooks.prefill_owner_responded(prefill_request_number_)) {
    ++state_->counters.prefill_waits;
    Dispatch();
    return;
  }
  ReleasePrefill(false);
  UpstreamState* upstream = state_->upstreams.Find(prefill_engine_);
  bool usable = upstream != nullptr && upstream->IsUsable(EventLoop::Now());
  if (!usable) {
    Dispatch();
  } else if (Revalidate()) {
    StartAttempt(upstream);
  }
}

void RequestHandler::ReleasePrefill(bool prefilled) {
  uint64_t request_number = prefill_request_number_;
  prefill_request_number_ = 0;
  if (request_number != 0) {
    deps_->hooks.release_prefill(request_number, prefilled);
  }
}

void RequestHandler::WaitForAdapter(const UpstreamChoice& choice) {
  if (load_requests_ == 0) {
    ++state_->counters.adapter_waits;
    adapter_wait_started_at_ = EventLoop::Now();
  }
  ++load_requests_;
  load_engine_ = choice.upstream->entry.id;
  if (load_requested_at_.insert(load_engine_).second) {
    deps_->hooks.adapter_wait_changed(load_engine_, request_.model, 1);
  }
  auto required_version = state_->required_versions.find(request_.model);
  deps_->hooks.request_load(load_engine_, request_.model,
                            required_version != state_->required_versions.end()
                                ? required_version->second
                                : 0,
                            ShouldReserveSlot());
  if (finished_ || load_engine_.empty() || call_id_ != 0) {
    return;  // This instance is the owner and has responded already.
  }
  auto self = shared_from_this();
  wait_timer_.Start(kLoadRequestInterval, [self] { self->Dispatch(); });
}

void RequestHandler::OnEngineFull(const UpstreamId& engine,
                                  const ModelRef& target) {
  if (finished_ || call_id_ != 0 || engine != load_engine_ ||
      target != request_.model) {
    return;
  }
  if (UpstreamState* upstream = state_->upstreams.Find(engine)) {
    upstream->slots_full_until = EventLoop::Now() + kSlotsFullBackoff;
  }
  load_engine_ = UpstreamId();
  auto self = shared_from_this();
  wait_timer_.Start(kSlotsFullRetryDelay, [self] { self->Dispatch(); });
}

bool RequestHandler::IsWaitingFor(const UpstreamId& engine,
                                  const ModelRef& target) const {
  return !finished_ && call_id_ == 0 && !permit_pending_ &&
         prefill_request_number_ == 0 && target == request_.model &&
         load_requested_at_.count(engine) > 0;
}

// Without the reservation, requests that arrived later could take every slot
// that becomes free.
bool RequestHandler::ShouldReserveSlot() const {
  Millis waited = EventLoop::Now() - arrived_at_;
  return waited.count() * kReserveSlotDivisor > EventTimeout().count();
}

// How long the caller waits for the response to start.
Millis RequestHandler::EventTimeout() const {
  Millis timeout = deadline_ - arrived_at_;
  Millis event_timeout = route_->StreamEventTimeout();
  return event_timeout == Millis(0) ? timeout
                                    : std::min(timeout, event_timeout);
}

void RequestHandler::EndAdapterWaits() {
  for (const UpstreamId& engine : load_requested_at_) {
    deps_->hooks.adapter_wait_changed(engine, request_.model, -1);
  }
  load_requested_at_.clear();
}

// Ends the load requests at all other engines, which need not load it too.
void RequestHandler::OnAdapterLoading(const UpstreamId& engine,
                                      const ModelRef& target) {
  if (!IsWaitingFor(engine, target)) {
    return;
  }
  load_requested_at_.erase(engine);
  EndAdapterWaits();
  load_requested_at_.insert(engine);
  load_engine_ = engine;
  auto self = shared_from_this();
  wait_timer_.Start(kLoadingTimeout, [self] { self->Dispatch(); });
}

void RequestHandler::OnAdapterReady(const UpstreamId& engine,
                                    const ModelRef& target) {
  if (!IsWaitingFor(engine, target)) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(engine);
  wait_timer_.Cancel();
  load_engine_ = UpstreamId();
  if (upstream == nullptr || !upstream->IsUsable(EventLoop::Now())) {
    Dispatch();
    return;
  }
  if (Revalidate()) {
    SendWhenPrefillGranted(upstream);
  }
}

}  // namespace bilberrypitch
