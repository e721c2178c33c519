// The end of an attempt: what its outcome means for the upstream and for the
// request, and what follows.
#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr int kUnavailableStatus = 503;
// Delay before the next attempt after an engine did not hold the adapter.
constexpr Millis kAdapterMissBackoff{40};

bool IsServerError(int status) { return status >= 500; }

std::string PartsText(const std::vector<PartId>& parts) {
  std::string text;
  for (PartId part : parts) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",",
                        static_cast<uint64_t>(part));
  }
  return text.empty() ? "-" : text;
}

}  // namespace

void RequestHandler::OnCallDone(CallOutcome outcome) {
  call_id_ = 0;
  deps_->hooks.attempt_ended();
  if (DefinitelyNotSent(outcome.result) ||
      (outcome.result == CallResult::kConnectionBroken &&
       outcome.status == 0)) {
    deps_->hooks.upstream_unreached(last_upstream_);
  }
  if (finished_) {
    return;
  }
  if (response_fault_ == ResponseFault::kNone) {
    response_fault_ = FaultOfBody(outcome);
  }
  UpdateConnectionTrust(outcome);
  bool complete = outcome.result == CallResult::kComplete &&
                  response_fault_ == ResponseFault::kNone &&
                  response_matches_ && response_info_.has_signature &&
                  !response_info_.not_run && !IsServerError(outcome.status);
  if (complete && response_is_stream_ && !StreamEndsWhole()) {
    complete = false;
    outcome.result = CallResult::kConnectionBroken;
  }
  // Only a stream can complete one that the caller has a part of.
  if (complete && (response_is_stream_ || !response_started_)) {
    OnCompleteResponse(std::move(outcome), false);
    return;
  }
  AttemptOutcome end = ClassifyOutcome(outcome);
  RecordFault(end, outcome);
  HandleFailedAttempt(end, &outcome);
}

void RequestHandler::OnCompleteResponse(CallOutcome outcome, bool failed) {
  EndAttempt(failed ? AttemptEnd::kFailed : AttemptEnd::kCompleted);
  if (!failed) {
    state_->crash_tracker.OnSuccess(fingerprint_);
  }
  if (!IsStream() && outcome.status < 300) {
    ReportBegun();
  }
  ++state_->counters.answered;
  if (response_started_) {
    responder_->Write(event_splitter_.TakeEmptyEvents());
    responder_->EndStream();
    Finish("answered", outcome.status);
    return;
  }
  HttpResponse response;
  response.status = outcome.status;
  response.headers = response_info_.forward;
  response.body = std::move(outcome.body);
  response.close_connection = state_->stopping;
  if (response_is_stream_) {
    // The stream ended without an event, so it was not started yet.
    responder_->StartStream(outcome.status, response_info_.forward);
    responder_->Write(event_splitter_.TakeEmptyEvents());
    responder_->EndStream();
  } else {
    responder_->Send(std::move(response));
  }
  Finish("answered", outcome.status);
}

void RequestHandler::EndAttempt(AttemptEnd end) {
  ReleasePrefill(false);
  if (upstream_.empty()) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  Millis duration = EventLoop::Now() - sent_at_;
  if (upstream != nullptr) {
    state_->upstreams.OnAttemptEnded(upstream,
                                     first_event_seen_ ? 0 : PromptTokens());
    // A rejection is fast, but says nothing of how fast requests are served.
    state_->upstreams.OnAttemptResult(
        upstream, end == AttemptEnd::kFailed,
        end == AttemptEnd::kNotRun ? std::nullopt : std::optional(duration));
    if (latency_counts_) {
      upstream->capacity.OnAttemptEnded(sent_at_, end == AttemptEnd::kCompleted,
                                        EventLoop::Now());
    }
    if (end == AttemptEnd::kCompleted) {
      deps_->hooks.capacity_sampled(upstream_);
    }
  }
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use_changed(upstream_, request_.model, -1);
  }
  upstream_ = UpstreamId();
}

// A plain upstream that states neither its load nor a slowdown may have
// rejected the request for another reason, and may take it when it is sent
// again.
bool RequestHandler::WasFull(const UpstreamState& upstream) const {
  const std::optional<UpstreamLoadReport>& load = response_info_.load;
  bool states_full = load && load->slots > 0 && load->running >= load->slots;
  return IsPlainService() &&
         (states_full || upstream.capacity.StatesSlowdown(EventLoop::Now()));
}

void RequestHandler::HandleFailedAttempt(AttemptOutcome end,
                                         CallOutcome* outcome) {
  UpstreamId upstream = upstream_;
  UpstreamState* rejected_by = state_->upstreams.Find(upstream);
  if (end == AttemptOutcome::kRejectedNotRun && rejected_by != nullptr &&
      outcome->status != kMisdirectedRequestStatus) {
    state_->upstreams.OnRejection(rejected_by, state_->instance_count,
                                  EventLoop::Now());
    if (outcome->status == kUnavailableStatus && WasFull(*rejected_by)) {
      rejected_by->capacity.OnFull(EventLoop::Now());
      full_upstreams_.insert(upstream);
    }
  }
  bool not_run_by_upstream =
      end == AttemptOutcome::kNotSent || end == AttemptOutcome::kRejectedNotRun;
  bool adapter_missed = end == AttemptOutcome::kRejectedNotRun &&
                        outcome->status == kMisdirectedRequestStatus &&
                        request_.model.is_adapter();
  if (not_run_by_upstream) {
    EndAttempt(AttemptEnd::kNotRun);
  } else {
    EndAttempt(end == AttemptOutcome::kDeadlineExceeded ? AttemptEnd::kAborted
                                                        : AttemptEnd::kFailed);
  }
  if (end == AttemptOutcome::kNotSent) {
    if (UpstreamState* it = state_->upstreams.Find(upstream)) {
      state_->upstreams.OnConnectFailure(it, EventLoop::Now());
    }
    deps_->hooks.upstream_unreachable(upstream);
  }
  if (end == AttemptOutcome::kConnectionBroken) {
    is_suspect_ = true;
    deps_->hooks.connection_broken(fingerprint_, upstream,
                                   upstream_started_ms_);
  }
  if (end == AttemptOutcome::kConnectionBroken && !first_event_seen_) {
    deps_->hooks.broken_before_response(
        {{upstream, upstream_started_ms_}, fingerprint_, shared_parts_});
  }
  if (!not_run_by_upstream) {
    may_have_run_ = true;
    ++upstreams_maybe_run_;
  }
  if (adapter_missed) {
    ++state_->counters.adapter_misses;
    ++adapter_misses_;
    state_->residency.OnRemoved(upstream, request_.model, EventLoop::Now());
    deps_->hooks.adapter_missing(upstream, request_.model);
  } else {
    tried_upstreams_.push_back(upstream);
  }
  AttemptState attempt;
  attempt.end = end;
  attempt.kind = route_->kind;
  attempt.resumable = route_->resumable;
  attempt.response_started = response_started_;
  attempt.may_have_run = may_have_run_;
  attempt.upstreams_maybe_run = upstreams_maybe_run_;
  attempt.max_upstreams = route_->max_upstreams;
  attempt.attempts = attempts_;
  attempt.time_left = TimeLeft();
  AttemptDecision decision = DecideNextStep(attempt);
  LogInfo("request",
          "Attempt id={} send={} upstream={} end={} status={} "
          "ms={} next={} begun={} reused={} parts={} fault={} version={}.",
          request_.id.str(), attempts_, upstream.str(), static_cast<int>(end),
          outcome->status, (EventLoop::Now() - sent_at_).count(),
          static_cast<int>(decision.step), first_event_seen_ ? 1 : 0,
          outcome->reused_connection ? 1 : 0, PartsText(shared_parts_),
          NameOf(response_fault_), upstream_software_.str());
  bool retry =
      decision.step == NextStep::kRetry || decision.step == NextStep::kResume;
  if (retry && (end == AttemptOutcome::kNotSent ||
                state_->RetryBudgetFor(service_).TryAcquire(
                    state_->instance_count, EventLoop::Now()))) {
    if (adapter_missed) {
      auto self = shared_from_this();
      wait_timer_.Start(kAdapterMissBackoff, [self] { self->Dispatch(); });
    } else {
      Dispatch();
    }
    return;
  }
  bool forward_response =
      end == AttemptOutcome::kErrorResponse && !response_started_;
  if (forward_response) {
    ++state_->counters.answered;
    HttpResponse response;
    response.status = outcome->status;
    response.headers = response_info_.forward;
    response.body = std::move(outcome->body);
    response.close_connection = state_->stopping;
    responder_->Send(std::move(response));
    Finish("upstream_failed", outcome->status);
    return;
  }
  Fail(ErrorForCaller(attempt));
}

}  // namespace bilberrypitch
