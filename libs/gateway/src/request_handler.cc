// Selection of a request's upstream, and the request's end. Its admission is in
// request_admission.cc, waiting for an adapter or a prefill in
// request_waits.cc, permits in request_permits.cc, attempts in
// request_attempt.cc.
#include "gateway/request_handler.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/choice_input.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

// How often the choice is repeated while no upstream can take the request.
constexpr Millis kNoUpstreamRetryInterval{120};
constexpr Millis kStoppingRetryAfter{50};

}  // namespace

RequestHandler::RequestHandler(const RequestDeps* deps, ServingRequest request,
                               std::shared_ptr<Responder> responder,
                               uint64_t connection_id, Millis arrived_at,
                               const std::optional<RelayedTarget>& relayed)
    : deps_(deps),
      state_(deps->state),
      request_(std::move(request)),
      responder_(std::move(responder)),
      connection_id_(connection_id),
      arrived_at_(arrived_at),
      shared_parts_(SharedParts(request_.prompt_parts)),
      choice_seed_(
          StableHash(request_.id.str() + std::to_string(arrived_at.count()),
                     deps->state->settings.machine.str()) |
          1),
      deadline_timer_(deps->loop),
      wait_timer_(deps->loop),
      is_relayed_(relayed.has_value()),
      rate_is_charged_(relayed && relayed->rate_is_charged) {}

bool RequestHandler::IsStream() const {
  return route_->kind == RequestKind::kStream;
}

int64_t RequestHandler::PromptTokens() const {
  return request_.model.model.empty() ? 0 : request_.prompt_tokens;
}

Millis RequestHandler::TimeLeft() const { return deadline_ - EventLoop::Now(); }

void RequestHandler::Start() {
  ++state_->counters.received;
  if (!Admit()) {
    return;
  }
  auto self = shared_from_this();
  deadline_timer_.Start(std::max(Millis(1), TimeLeft()),
                        [self] { self->OnDeadline(); });
  if (!RelayIfPathLost()) {
    Proceed();
  }
}

void RequestHandler::Proceed() {
  if (!rate_is_charged_) {
    state_->RetryBudgetFor(service_).OnRequest(arrived_at_);
  }
  if (IsTakeUp()) {
    FindOrigin();
  } else {
    AdmitRate();
  }
}

void RequestHandler::Dispatch() {
  if (finished_ || call_id_ != 0 || !Revalidate()) {
    return;
  }
  is_dispatched_ = true;
  if (RelayIfPathLost()) {
    return;
  }
  load_engine_ = UpstreamId();
  state_->upstreams.MoveSuspectRequest(&suspect_upstream_, UpstreamId());
  Millis now = EventLoop::Now();
  ChoiceInput input = MakeChoiceInput(
      *state_, *config_, service_, request_.model, request_.prompt_tokens, now);
  input.tried = tried_upstreams_;
  input.suspect = is_suspect_;
  input.seed = choice_seed_;
  input.permit = permit_upstream_;
  input.load_requested_at = &load_requested_at_;
  if (RejectIfEvacuated() || RejectIfAllLeave() || RejectIfVersionGone()) {
    return;
  }
  std::vector<UpstreamState*> usable = UsableUpstreams(now);
  if (RejectIfAllFull(usable)) {
    return;
  }
  std::erase_if(usable, [now](const UpstreamState* upstream) {
    return !upstream->HasRoomIfBrittle(now);
  });
  std::optional<UpstreamChoice> choice =
      ChooseUpstream(usable, state_->residency, input);
  if (!choice) {
    Millis bound =
        std::max(route_->latency_target, kNoUpstreamRetryInterval * 2);
    if (now > arrived_at_ + bound ||
        TimeLeft() < kNoUpstreamRetryInterval * 2) {
      Fail({ErrorKind::kUpstreamUnavailable, "No upstream can take it.",
            may_have_run_ ? NotRun::kUnknown : NotRun::kTrue});
      return;
    }
    auto self = shared_from_this();
    wait_timer_.Start(kNoUpstreamRetryInterval, [self] { self->Dispatch(); });
    return;
  }
  choice_margin_ = Millis(static_cast<int64_t>(choice->margin_ms));
  if (is_suspect_) {
    state_->upstreams.MoveSuspectRequest(&suspect_upstream_,
                                         choice->upstream->entry.id);
  }
  // The permit for a cold upstream would not live until the adapter is loaded;
  // another is asked for then.
  bool is_loading = choice->upstream->IsCold() && !choice->resident &&
                    load_requested_at_.count(choice->upstream->entry.id) > 0;
  if (!is_loading && !HasPermit(*choice->upstream)) {
    AskForPermit(*choice->upstream);  // Before an adapter is loaded there.
  } else if (choice->resident) {
    SendWhenPrefillGranted(choice->upstream);
  } else {
    ReleasePrefill(false);
    WaitForAdapter(*choice);
  }
}

bool RequestHandler::IsPlainService() const {
  const Service* service = config_->FindService(service_);
  return service == nullptr || !service->engine;
}

bool RequestHandler::RejectIfAllFull(
    const std::vector<UpstreamState*>& usable) {
  bool all_full =
      !full_upstreams_.empty() && !usable.empty() && !may_have_run_ &&
      std::all_of(usable.begin(), usable.end(), [this](auto* upstream) {
        return full_upstreams_.contains(upstream->entry.id);
      });
  if (all_full) {
    ++state_->counters.refused_all_full;
    Reject(ErrorKind::kUpstreamUnavailable, "All upstreams are full.",
           kRejectionRetryAfter);
  }
  return all_full;
}

void RequestHandler::OnDeadline() {
  Abort(ErrorKind::kUpstreamTimeout, ErrorKind::kQueueTimeout,
        "The time for the request is over.");
}

bool RequestHandler::EndIfTooLateToSend() {
  bool waits = !finished_ && call_id_ == 0 && !response_started_;
  if (!waits || state_->shutdown.MaySend(*route_, arrived_at_, deadline_,
                                         EventLoop::Now())) {
    return false;
  }
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown, "The instance stops.", NotRun::kUnknown});
  } else {
    Reject(ErrorKind::kStopping, "The instance stops.", kStoppingRetryAfter);
  }
  return true;
}

void RequestHandler::OnShutdown() {
  Abort(ErrorKind::kOutcomeUnknown, ErrorKind::kStopping,
        "The instance stops.");
}

void RequestHandler::Abort(ErrorKind kind_if_sent, ErrorKind kind_if_not_sent,
                           std::string detail) {
  if (finished_) {
    return;
  }
  CallId call = call_id_;
  call_id_ = 0;
  may_have_run_ = may_have_run_ || call != 0;
  EndAttempt(AttemptEnd::kAborted);
  Error error{kind_if_not_sent, std::move(detail), NotRun::kTrue};
  if (may_have_run_) {
    error.kind = kind_if_sent;
    error.not_run = NotRun::kUnknown;
  }
  Fail(error);
  if (call != 0) {
    deps_->client->Cancel(call);
  }
}

void RequestHandler::OnCallerDisconnected() {
  if (finished_) {
    return;
  }
  ++state_->counters.caller_left;
  CallId call = call_id_;
  call_id_ = 0;
  EndAttempt(AttemptEnd::kAborted);
  if (response_started_) {
    responder_->AbortStream();
  }
  Finish("caller_left", 0);
  if (call != 0) {
    deps_->client->Cancel(call);
  }
}

void RequestHandler::Reject(ErrorKind kind, std::string detail,
                            Millis retry_after) {
  ++state_->counters.refused;
  Error error{kind, std::move(detail), NotRun::kTrue};
  LogInfo("request", "Refused id={} kind={} config={} age_ms={} detail={}",
          request_.id.str(), ErrorInfoFor(kind).name,
          state_->config != nullptr ? state_->config->version() : 0,
          state_->freshness.Age(EventLoop::Now()).count(), error.detail);
  Respond(deps_->codec->EncodeError(error, request_.id, retry_after));
  Finish("refused", ErrorInfoFor(kind).http_status);
}

void RequestHandler::Fail(const Error& error) {
  if (error.not_run == NotRun::kTrue) {
    Reject(error.kind, error.detail, kRejectionRetryAfter);
    return;
  }
  ++state_->counters.failed;
  if (response_started_) {
    responder_->AbortStream();
    Finish("broken_off", ErrorInfoFor(error.kind).http_status);
    return;
  }
  Respond(deps_->codec->EncodeError(error, request_.id, Millis(0)));
  Finish("failed", ErrorInfoFor(error.kind).http_status);
}

void RequestHandler::Respond(HttpResponse response) {
  response.close_connection = state_->stopping;
  responder_->Send(std::move(response));
}

void RequestHandler::RecordLatencies(std::string_view outcome) {
  if (outcome != "answered") {
    return;
  }
  state_->response_latency.Add(EventLoop::Now() - arrived_at_);
  if (first_event_latency_ > Millis(0)) {
    state_->first_event_latency.Add(first_event_latency_);
    state_->max_event_gap.Add(max_event_gap_);
  }
  if (load_requests_ > 0) {
    state_->adapter_wait_time.Add(sent_at_ - adapter_wait_started_at_);
  }
}

void RequestHandler::Finish(const char* outcome, int status) {
  finished_ = true;
  ReleasePrefill(false);
  ReturnPermit();
  EndAdapterWaits();
  state_->upstreams.MoveSuspectRequest(&suspect_upstream_, UpstreamId());
  deadline_timer_.Cancel();
  wait_timer_.Cancel();
  RecordLatencies(outcome);
  LogInfo(
      "request",
      "Ended id={} outcome={} status={} ms={} sends={} model={} "
      "workspace={} route={} first_ms={} pause_ms={} asked={} misses={} "
      "upstream={} config={} from={} reused={} version={} relay={} after={} "
      "resumes={}.",
      request_.id.str(), outcome, status,
      (EventLoop::Now() - arrived_at_).count(), attempts_,
      ToString(request_.model),
      workspace_ != nullptr ? workspace_->id.str() : "-",
      route_ != nullptr ? route_->name : "-", first_event_latency_.count(),
      max_event_gap_.count(), load_requests_, adapter_misses_,
      last_upstream_.str(), config_ != nullptr ? config_->version() : 0,
      attempts_ > 0 ? NameOf(framing_) : "-", reused_connection_ ? 1 : 0,
      upstream_software_.str(), relay_.empty() ? "-" : relay_.str(),
      request_.last_event_id.empty() ? "-" : request_.last_event_id,
      request_.resumed_request.empty() ? "-" : request_.resumed_request.str());
  responder_.reset();
  deps_->hooks.request_ended(connection_id_);
}

}  // namespace bilberrypitch
