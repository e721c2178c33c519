// What one request waits for before it is sent: its adapter on an engine, and
// its turn among the prompts there.
#include <algorithm>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// How often the adapter is asked for, and when another engine is looked at.
constexpr Millis kAskAgain{150};
// An adapter that is on its way is there in this time, or asked for again.
constexpr Millis kLoadTime{400};
// After a word that the engine is full another one is asked so soon.
constexpr Millis kFullPause{15};
// From this part of its patience on a request insists on the next place.
constexpr int64_t kInsistParts = 3;
constexpr Millis kFullFor{250};
// The owner of an engine answers within this time; a prompt that waits is
// asked for again as often.
constexpr Millis kReadingAnswer{120};
// Without an owner: how often it is looked whether the engine has read enough.
constexpr Millis kReadAgain{20};
// A request with less than this part of its patience left does not wait for
// that.
constexpr int64_t kPressingParts = 3;

}  // namespace

// Sends at once, or when the engine's owner lets the prompt go there. A request
// whose time runs out waits no longer.
void RequestHandler::SendWhenRead(UpstreamState* upstream) {
  Millis now = EventLoop::Now();
  Millis pause = config_->MaxEventGapOf(service_);
  Millis left = Patience() - (now - arrived_);
  bool pressing = left.count() * kPressingParts < Patience().count();
  if (pause == Millis(0) || PromptTokens() == 0 || pressing) {
    Send(upstream);
    return;
  }
  AskReading(upstream->entry.id);
  if (reading_ != 0) {
    auto self = shared_from_this();
    wait_timer_.Start(kReadingAnswer, [self] { self->OnReadingSilence(); });
    return;
  }
  // Without an owner it goes by what this instance knows.
  if (CanStartPrefill(*upstream, PromptTokens(), pause, now)) {
    Send(upstream);
    return;
  }
  auto self = shared_from_this();
  wait_timer_.Start(kReadAgain, [self] { self->Dispatch(); });
}

void RequestHandler::AskReading(const UpstreamId& engine) {
  if (reading_ != 0 && reading_engine_ == engine) {
    deps_->hooks.renew_prefill_request(reading_);
    return;
  }
  EndReading(false);
  auto self = shared_from_this();
  reading_engine_ = engine;
  reading_ = deps_->hooks.request_prefill(engine, PromptTokens(), Urgency(),
                                          [self] { self->OnReadingGranted(); });
}

void RequestHandler::OnReadingGranted() {
  if (finished_ || call_ != 0 || reading_ == 0) {
    return;
  }
  wait_timer_.Cancel();
  UpstreamState* upstream = state_->upstreams.Find(reading_engine_);
  bool usable = upstream != nullptr && upstream->IsUsable(EventLoop::Now());
  if (!usable) {
    EndReading(false);
    Dispatch();
    return;
  }
  if (StillAllowed()) {
    Send(upstream);
  }
}

// The prompt was not let go yet: another engine may be better by now.
void RequestHandler::OnReadingSilence() {
  if (finished_ || call_ != 0) {
    return;
  }
  if (deps_->hooks.prefill_owner_responded(reading_)) {
    ++state_->counters.prefill_waits;
    Dispatch();
    return;
  }
  EndReading(false);
  UpstreamState* upstream = state_->upstreams.Find(reading_engine_);
  bool usable = upstream != nullptr && upstream->IsUsable(EventLoop::Now());
  if (!usable) {
    Dispatch();
  } else if (StillAllowed()) {
    Send(upstream);
  }
}

void RequestHandler::EndReading(bool read) {
  uint64_t number = reading_;
  reading_ = 0;
  if (number != 0) {
    deps_->hooks.release_prefill(number, read);
  }
}

void RequestHandler::WaitForAdapter(const UpstreamChoice& choice) {
  if (asked_ == 0) {
    ++state_->counters.adapter_waits;
    waiting_since_ = EventLoop::Now();
  }
  ++asked_;
  waiting_engine_ = choice.upstream->entry.id;
  if (wanted_at_.insert(waiting_engine_).second) {
    deps_->hooks.adapter_wait_changed(waiting_engine_, request_.model, 1);
  }
  auto named = state_->required_versions.find(request_.model);
  deps_->hooks.request_load(
      waiting_engine_, request_.model,
      named != state_->required_versions.end() ? named->second : 0, Insists());
  if (finished_ || waiting_engine_.empty() || call_ != 0) {
    return;  // The owner, this instance, has answered at once.
  }
  auto self = shared_from_this();
  wait_timer_.Start(kAskAgain, [self] { self->Dispatch(); });
}

void RequestHandler::OnEngineFull(const UpstreamId& engine,
                                  const ModelRef& target) {
  if (finished_ || call_ != 0 || engine != waiting_engine_ ||
      target != request_.model) {
    return;
  }
  if (UpstreamState* upstream = state_->upstreams.Find(engine)) {
    upstream->slots_full_until = EventLoop::Now() + kFullFor;
  }
  waiting_engine_ = UpstreamId();
  auto self = shared_from_this();
  wait_timer_.Start(kFullPause, [self] { self->Dispatch(); });
}

bool RequestHandler::WaitsFor(const UpstreamId& engine,
                              const ModelRef& target) const {
  return !finished_ && call_ == 0 && reading_ == 0 &&
         target == request_.model && wanted_at_.count(engine) > 0;
}

// Others that came later would take the places before it.
bool RequestHandler::Insists() const {
  Millis waited = EventLoop::Now() - arrived_;
  return waited.count() * kInsistParts > Patience().count();
}

// How long the caller waits for the answer to begin.
Millis RequestHandler::Patience() const {
  Millis allowed = deadline_ - arrived_;
  Millis patience = route_->StreamEventTimeout();
  return patience == Millis(0) ? allowed : std::min(allowed, patience);
}

void RequestHandler::EndWaits() {
  for (const UpstreamId& engine : wanted_at_) {
    deps_->hooks.adapter_wait_changed(engine, request_.model, -1);
  }
  wanted_at_.clear();
}

// Other engines need not load it too.
void RequestHandler::OnAdapterLoading(const UpstreamId& engine,
                                      const ModelRef& target) {
  if (!WaitsFor(engine, target)) {
    return;
  }
  wanted_at_.erase(engine);
  EndWaits();
  wanted_at_.insert(engine);
  waiting_engine_ = engine;
  auto self = shared_from_this();
  wait_timer_.Start(kLoadTime, [self] { self->Dispatch(); });
}

void RequestHandler::OnAdapterReady(const UpstreamId& engine,
                                    const ModelRef& target) {
  if (!WaitsFor(engine, target)) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(engine);
  wait_timer_.Cancel();
  waiting_engine_ = UpstreamId();
  if (upstream == nullptr || !upstream->IsUsable(EventLoop::Now())) {
    Dispatch();
    return;
  }
  if (StillAllowed()) {
    SendWhenRead(upstream);
  }
}

}  // namespace bilberrypitch
