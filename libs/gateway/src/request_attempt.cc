// The attempts of one request at upstreams, and what follows each.
#include <algorithm>

#include "base/log.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr int kMisdirected = 421;
constexpr Millis kConnectDeadline{350};
// What the upstream is told lies so much before the caller's own end.
constexpr Millis kDeadlineMargin{10};
constexpr Millis kAfterMiss{40};
constexpr int kUrgencyPerWorkspace = 3;
constexpr int kLeastUrgent = 9;
// A plain service that is sound answers within this many goals.
constexpr int64_t kSilentGoals = 3;
constexpr Millis kLeastSilence{400};

bool IsFailure(int status) { return status >= 500; }

}  // namespace

int RequestHandler::Urgency() const {
  int urgency = route_->priority;
  if (workspace_ != nullptr && workspace_->priority) {
    urgency += *workspace_->priority * kUrgencyPerWorkspace;
  }
  return std::clamp(urgency, 0, kLeastUrgent);
}

HttpCall RequestHandler::NewCall(const UpstreamState& upstream) const {
  HttpCall call;
  call.address = upstream.entry.address;
  call.timeouts.connect = kConnectDeadline;
  Millis left = TimeLeft();
  call.timeouts.total = left;
  call.timeouts.first_byte = left;
  call.timeouts.idle = left;
  bool may_repeat =
      route_->IsIdempotent() && upstreams_run_ + 1 < route_->max_upstreams;
  if (may_repeat && !IsStream()) {
    call.timeouts.first_byte = std::min(
        left, std::max(kLeastSilence, route_->latency_target * kSilentGoals));
  }
  call.send_once = !route_->IsIdempotent();
  // Before the upstream closes the idle connection itself.
  call.max_connection_idle_s = std::max(1, upstream.idle_timeout_s - 1);
  if (upstream.idle_timeout_s == 0) {
    call.max_connection_idle_s = 0;
  }
  return call;
}

void RequestHandler::Send(UpstreamState* upstream) {
  Millis now = EventLoop::Now();
  HttpCall call = NewCall(*upstream);
  UpstreamCallOptions instructions;
  instructions.upstream = upstream->entry.id;
  if (workspace_ != nullptr) {
    instructions.workspace = workspace_->id;
  }
  instructions.time_left = std::max(Millis(1), TimeLeft() - kDeadlineMargin);
  const Service* service = config_->FindService(service_);
  if (service != nullptr && service->engine) {
    instructions.priority = Urgency();
    auto named = state_->required_versions.find(request_.model);
    if (named != state_->required_versions.end()) {
      instructions.minimum_version = named->second;
    }
  }
  if (answer_begun_) {
    instructions.resume_after_event = events_.last_id();
    events_.DropPartial();
  }
  deps_->codec->EncodeCall(request_, instructions, &call);
  upstream_ = upstream->entry.id;
  last_upstream_ = upstream_;
  upstream_started_ms_ = upstream->entry.started_ms;
  sent_at_ = now;
  first_event_seen_ = false;
  attempt_streams_ = false;
  facts_ = ResponseInfo();
  if (sends_ > 0) {
    ++state_->counters.retries;
  }
  ++sends_;
  state_->upstreams.OnAttemptStarted(upstream, PromptTokens());
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use_changed(upstream_, request_.model, 1);
  }
  EndWaits();
  auto self = shared_from_this();
  call.on_headers = [self](int status, const HttpHeaders& headers) {
    return self->OnHead(status, headers);
  };
  if (IsStream()) {
    call.on_data = [self](std::string_view bytes) {
      self->OnBytes(bytes);
      return true;
    };
  }
  call.on_done = [self](CallOutcome outcome) {
    self->OnDone(std::move(outcome));
  };
  call_ = deps_->client->Start(std::move(call));
}

bool RequestHandler::OnHead(int status, const HttpHeaders& headers) {
  facts_ = deps_->codec->DecodeResponse(request_, status, headers);
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  if (upstream != nullptr) {
    if (facts_.load) {
      state_->upstreams.OnLoadReport(upstream, *facts_.load, EventLoop::Now());
    }
    if (facts_.idle_timeout_s > 0) {
      upstream->idle_timeout_s = facts_.idle_timeout_s;
    }
  }
  if (!facts_.matches_request) {
    return false;
  }
  attempt_streams_ = IsStream() && status < 300 && facts_.has_signature;
  return status >= 300 || facts_.has_signature;
}

void RequestHandler::OnBytes(std::string_view bytes) {
  if (finished_ || !attempt_streams_) {
    return;
  }
  std::string events = events_.Feed(bytes);
  if (events.empty()) {
    return;
  }
  Millis now = EventLoop::Now();
  if (answer_begun_) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
  if (!first_event_seen_) {
    first_event_seen_ = true;
    EndReading(true);
    UpstreamState* upstream = state_->upstreams.Find(upstream_);
    if (upstream != nullptr) {
      state_->upstreams.OnFirstEvent(upstream, PromptTokens(), now - sent_at_,
                                     now);
    }
  }
  if (!answer_begun_) {
    answer_begun_ = true;
    first_event_after_ = now - arrived_;
    responder_->StartStream(200, facts_.forward);
  }
  responder_->WriteChunk(std::move(events), {});
}

AttemptOutcome RequestHandler::EndOf(const CallOutcome& outcome) const {
  switch (outcome.result) {
    case CallResult::kConnectFailed:
    case CallResult::kConnectTimeout:
      return AttemptOutcome::kNotSent;
    case CallResult::kComplete:
      break;
    case CallResult::kStalled:
      return TimeLeft() <= Millis(1) ? AttemptOutcome::kDeadlineExceeded
                                     : AttemptOutcome::kNoResponse;
    case CallResult::kTotalTimeout:
      return AttemptOutcome::kDeadlineExceeded;
    case CallResult::kCancelled:
    case CallResult::kResponseTooLarge:
      return AttemptOutcome::kInvalidResponse;
    case CallResult::kConnectionBroken:
      return AttemptOutcome::kConnectionBroken;
  }
  if (!facts_.matches_request) {
    return AttemptOutcome::kInvalidResponse;
  }
  if (facts_.not_run) {
    return AttemptOutcome::kRejectedNotRun;
  }
  if (!facts_.has_signature) {
    return AttemptOutcome::kInvalidResponse;
  }
  return AttemptOutcome::kErrorResponse;
}

void RequestHandler::OnDone(CallOutcome outcome) {
  call_ = 0;
  if (finished_) {
    return;
  }
  bool whole = outcome.result == CallResult::kComplete &&
               facts_.matches_request && facts_.has_signature &&
               !facts_.not_run;
  if (whole && IsStream() && attempt_streams_ && !events_.AtBoundary()) {
    whole = false;  // The last event is cut.
    outcome.result = CallResult::kConnectionBroken;
  }
  if (whole && !IsFailure(outcome.status)) {
    OnWholeAnswer(outcome, false);
    return;
  }
  AttemptOutcome end = EndOf(outcome);
  Conclude(end, &outcome);
}

void RequestHandler::OnWholeAnswer(const CallOutcome& outcome, bool failed) {
  CloseAttempt(failed);
  if (!failed) {
    state_->crash_tracker.OnSuccess(fingerprint_);
  }
  ++state_->counters.answered;
  if (answer_begun_) {
    responder_->EndStream();
    Finish("answered", outcome.status);
    return;
  }
  HttpResponse response;
  response.status = outcome.status;
  response.headers = facts_.forward;
  response.body = outcome.body;
  response.close_connection = state_->stopping;
  if (attempt_streams_) {
    // A stream without an event.
    responder_->StartStream(outcome.status, facts_.forward);
    responder_->EndStream();
  } else {
    responder_->Send(std::move(response));
  }
  Finish("answered", outcome.status);
}

void RequestHandler::CloseAttempt(bool failed) {
  EndReading(false);
  if (upstream_.empty()) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  Millis took = EventLoop::Now() - sent_at_;
  if (upstream != nullptr) {
    state_->upstreams.OnAttemptEnded(upstream,
                                     first_event_seen_ ? 0 : PromptTokens());
    state_->upstreams.OnAttemptResult(upstream, failed, took);
  }
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use_changed(upstream_, request_.model, -1);
  }
  upstream_ = UpstreamId();
}

void RequestHandler::Conclude(AttemptOutcome end, CallOutcome* outcome) {
  UpstreamId upstream = upstream_;
  bool unrun =
      end == AttemptOutcome::kNotSent || end == AttemptOutcome::kRejectedNotRun;
  bool misses = end == AttemptOutcome::kRejectedNotRun &&
                outcome->status == kMisdirected && request_.model.is_adapter();
  CloseAttempt(!unrun && end != AttemptOutcome::kDeadlineExceeded);
  if (end == AttemptOutcome::kNotSent) {
    if (UpstreamState* it = state_->upstreams.Find(upstream)) {
      state_->upstreams.OnConnectFailure(it, EventLoop::Now());
    }
    deps_->hooks.upstream_unreachable(upstream);
  }
  if (end == AttemptOutcome::kConnectionBroken) {
    suspect_ = true;
    deps_->hooks.connection_broken(fingerprint_, upstream,
                                   upstream_started_ms_);
  }
  if (!unrun) {
    may_have_run_ = true;
    ++upstreams_run_;
  }
  if (misses) {
    ++state_->counters.adapter_misses;
    ++misses_;
    state_->residency.OnRemoved(upstream, request_.model);
    deps_->hooks.adapter_missing(upstream, request_.model);
  } else {
    tried_.push_back(upstream);
  }
  AttemptState facts;
  facts.end = end;
  facts.kind = route_->kind;
  facts.resumable = route_->resumable;
  facts.response_started = answer_begun_;
  facts.may_have_run = may_have_run_;
  facts.upstreams_maybe_run = upstreams_run_;
  facts.max_upstreams = route_->max_upstreams;
  facts.attempts = sends_;
  facts.time_left = TimeLeft();
  AttemptDecision decision = DecideNextStep(facts);
  LogInfo("request",
          "Attempt id={} send={} upstream={} end={} status={} "
          "ms={} next={}.",
          request_.id.str(), sends_, upstream.str(), static_cast<int>(end),
          outcome->status, (EventLoop::Now() - sent_at_).count(),
          static_cast<int>(decision.step));
  bool again =
      decision.step == NextStep::kRetry || decision.step == NextStep::kResume;
  if (again && (end == AttemptOutcome::kNotSent ||
                state_->RetryBudgetFor(service_).TryAcquire(
                    state_->instance_count, EventLoop::Now()))) {
    if (misses) {
      auto self = shared_from_this();
      wait_timer_.Start(kAfterMiss, [self] { self->Dispatch(); });
    } else {
      Dispatch();
    }
    return;
  }
  bool passes = end == AttemptOutcome::kErrorResponse && !answer_begun_;
  if (passes) {
    ++state_->counters.answered;
    HttpResponse response;
    response.status = outcome->status;
    response.headers = facts_.forward;
    response.body = std::move(outcome->body);
    response.close_connection = state_->stopping;
    responder_->Send(std::move(response));
    Finish("upstream_failed", outcome->status);
    return;
  }
  Fail(ErrorForCaller(facts));
}

}  // namespace bilberrypitch
