// Admission, choice of the upstream, attempts and the answer of one request.
#include "gateway/request_run.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/serving_state.h"
#include "serving/edge_codec.h"
#include "transport/event_loop.h"
#include "transport/loop_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr int kMisdirected = 421;
constexpr Millis kConnectDeadline{350};
constexpr Millis kLongestCall{3600 * 1000};
// What the upstream is told lies so much before the caller's own end.
constexpr Millis kDeadlineMargin{10};
// A request within its workspace's rate waits so long for tokens.
constexpr int64_t kRateWaitParts = 3;  // A third of the goal.
constexpr Millis kLongestRateWait{600};
// How often the adapter is asked for, and when another engine is looked at.
constexpr Millis kAskAgain{150};
// After a word that the engine is full another one is asked so soon.
constexpr Millis kFullPause{15};
constexpr Millis kFullFor{250};
constexpr Millis kAfterMiss{40};
constexpr Millis kNoUpstreamWait{120};
constexpr Millis kRefusalRetry{400};
constexpr int kUrgencyPerWorkspace = 3;
constexpr int kLeastUrgent = 9;
// A plain service that is sound answers within this many goals.
constexpr int64_t kSilentGoals = 3;
constexpr Millis kLeastSilence{400};

bool IsFailure(int status) { return status >= 500; }

}  // namespace

RequestRun::RequestRun(const RequestDeps* deps, ServingRequest request,
                       std::shared_ptr<Responder> responder,
                       uint64_t connection)
    : deps_(deps),
      state_(deps->state),
      request_(std::move(request)),
      responder_(std::move(responder)),
      connection_(connection),
      arrived_(EventLoop::Now()),
      deadline_timer_(deps->loop),
      wait_timer_(deps->loop) {}

bool RequestRun::IsStream() const {
  return route_->kind == RequestKind::kStream;
}

int64_t RequestRun::PromptTokens() const {
  return request_.model.model.empty() ? 0 : request_.prompt_tokens;
}

Millis RequestRun::TimeLeft() const { return deadline_ - EventLoop::Now(); }

void RequestRun::Begin() {
  ++state_->counters.received;
  if (!Admit()) {
    return;
  }
  auto self = shared_from_this();
  deadline_timer_.Start(std::max(Millis(1), TimeLeft()),
                        [self] { self->OnTimeUp(); });
  state_->RetriesOf(service_).OnRequest(arrived_);
  AdmitRate();
}

bool RequestRun::Admit() {
  config_ = state_->config;
  if (config_ == nullptr) {
    Refuse(ErrorKind::kStoreUnavailable, "No configuration is known yet.",
           kRefusalRetry);
    return false;
  }
  route_ = config_->FindRoute(request_.host, request_.path);
  if (route_ == nullptr) {
    Refuse(ErrorKind::kNotFound, "No route matches.", Millis(0));
    return false;
  }
  if (!AdmitCaller()) {
    return false;
  }
  service_ = PickService(*route_, StableHash(request_.id.str()));
  deadline_ = arrived_ + std::min(request_.time_allowed.value_or(kLongestCall),
                                  route_->timeout);
  WorkspaceId id = workspace_ != nullptr ? workspace_->id : WorkspaceId();
  fingerprint_ =
      RequestFingerprint(request_.method, request_.target, id, request_.body);
  if (!state_->crashes.MaySend(fingerprint_, arrived_)) {
    Refuse(ErrorKind::kInternal,
           "Upstreams that ran this request crashed; it is not run again.",
           Millis(0));
    return false;
  }
  return true;
}

bool RequestRun::AdmitCaller() {
  bool asks_keys = !config_->config().workspaces.empty() && route_->needs_key;
  if (!asks_keys) {
    return true;
  }
  if (!state_->freshness.MayServe(arrived_)) {
    Refuse(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.", kRefusalRetry);
    return false;
  }
  workspace_ = config_->FindWorkspace(request_.key);
  if (workspace_ == nullptr) {
    Refuse(ErrorKind::kUnauthenticated, "The key is not known.", Millis(0));
    return false;
  }
  return true;
}

void RequestRun::AdmitRate() {
  if (finished_) {
    return;
  }
  if (workspace_ == nullptr || workspace_->rate_per_s <= 0) {
    Dispatch();
    return;
  }
  bool tokens = workspace_->counts_tokens && request_.states_tokens;
  rate_cost_ =
      tokens
          ? static_cast<double>(request_.prompt_tokens + request_.output_tokens)
          : workspace_->plain_cost;
  auto self = shared_from_this();
  deps_->hooks.take_rate(
      workspace_->id, rate_cost_,
      [self](const RateVerdict& verdict) { self->OnRate(verdict); });
}

void RequestRun::OnRate(const RateVerdict& verdict) {
  if (finished_) {
    return;
  }
  if (verdict.granted) {
    Dispatch();
    return;
  }
  Millis now = EventLoop::Now();
  Millis bound =
      std::min(Millis(route_->goal.count() / kRateWaitParts), kLongestRateWait);
  if (now + verdict.wait > arrived_ + bound) {
    ++state_->counters.rate_limited;
    Refuse(ErrorKind::kRateLimited, "The workspace is beyond its rate.",
           verdict.wait);
    return;
  }
  auto self = shared_from_this();
  wait_timer_.Start(std::max(Millis(1), verdict.wait),
                    [self] { self->AdmitRate(); });
}

// A newer configuration may have come while the request waited.
bool RequestRun::StillAllowed() {
  Millis now = EventLoop::Now();
  if (workspace_ != nullptr && !state_->freshness.MayServe(now)) {
    Refuse(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.", kRefusalRetry);
    return false;
  }
  if (config_ == state_->config || sends_ > 0) {
    bool key_holds = workspace_ == nullptr ||
                     state_->config->FindWorkspace(request_.key) != nullptr;
    if (!key_holds) {
      Fail({ErrorKind::kKeyWithdrawn, "The key was withdrawn.",
            may_have_run_ ? NotRun::kUnknown : NotRun::kTrue});
    }
    return key_holds;
  }
  config_ = state_->config;
  route_ = config_->FindRoute(request_.host, request_.path);
  if (route_ == nullptr) {
    Refuse(ErrorKind::kNotFound, "No route matches.", Millis(0));
    return false;
  }
  workspace_ = nullptr;
  if (!AdmitCaller()) {
    return false;
  }
  service_ = PickService(*route_, StableHash(request_.id.str()));
  return true;
}

void RequestRun::Dispatch() {
  if (finished_ || !StillAllowed()) {
    return;
  }
  waiting_engine_ = UpstreamId();
  Millis now = EventLoop::Now();
  ChoiceFacts facts;
  facts.model = request_.model;
  const Service* service = config_->FindService(service_);
  if (service == nullptr || !service->engine) {
    facts.model = ModelRef();
  }
  auto named = state_->named_versions.find(facts.model);
  facts.minimum_version =
      named != state_->named_versions.end() ? named->second : 0;
  facts.prompt_tokens = PromptTokens();
  facts.zone = state_->settings.zone;
  facts.now = now;
  facts.tried = tried_;
  std::optional<Choice> choice = ChooseUpstream(
      state_->upstreams.UsableOf(service_, now), state_->residency, facts);
  if (!choice) {
    Millis bound = std::max(route_->goal, kNoUpstreamWait * 2);
    if (now > arrived_ + bound || TimeLeft() < kNoUpstreamWait * 2) {
      Fail({ErrorKind::kUpstreamUnavailable, "No upstream can take it.",
            may_have_run_ ? NotRun::kUnknown : NotRun::kTrue});
      return;
    }
    auto self = shared_from_this();
    wait_timer_.Start(kNoUpstreamWait, [self] { self->Dispatch(); });
    return;
  }
  if (choice->resident) {
    Send(choice->upstream);
  } else {
    WaitForAdapter(*choice);
  }
}

void RequestRun::WaitForAdapter(const Choice& choice) {
  if (asked_ == 0) {
    ++state_->counters.adapter_waits;
    waiting_since_ = EventLoop::Now();
  }
  ++asked_;
  waiting_engine_ = choice.upstream->entry.id;
  auto named = state_->named_versions.find(request_.model);
  deps_->hooks.want_adapter(
      waiting_engine_, request_.model,
      named != state_->named_versions.end() ? named->second : 0);
  if (finished_ || waiting_engine_.empty() || call_ != 0) {
    return;  // The owner, this instance, has answered at once.
  }
  auto self = shared_from_this();
  wait_timer_.Start(kAskAgain, [self] { self->Dispatch(); });
}

void RequestRun::OnEngineFull(const UpstreamId& engine,
                              const ModelRef& target) {
  if (finished_ || call_ != 0 || engine != waiting_engine_ ||
      target != request_.model) {
    return;
  }
  if (UpstreamState* upstream = state_->upstreams.Find(engine)) {
    upstream->full_until = EventLoop::Now() + kFullFor;
  }
  waiting_engine_ = UpstreamId();
  auto self = shared_from_this();
  wait_timer_.Start(kFullPause, [self] { self->Dispatch(); });
}

void RequestRun::OnAdapterReady(const UpstreamId& engine,
                                const ModelRef& target) {
  if (finished_ || call_ != 0 || engine != waiting_engine_ ||
      target != request_.model) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(engine);
  wait_timer_.Cancel();
  waiting_engine_ = UpstreamId();
  if (upstream == nullptr || !upstream->Usable(EventLoop::Now())) {
    Dispatch();
    return;
  }
  if (StillAllowed()) {
    Send(upstream);
  }
}

HttpCall RequestRun::NewCall(const UpstreamState& upstream) const {
  HttpCall call;
  call.address = upstream.entry.address;
  call.deadlines.connect = kConnectDeadline;
  Millis left = TimeLeft();
  call.deadlines.whole = left;
  call.deadlines.first_byte = left;
  call.deadlines.progress = left;
  bool may_repeat =
      route_->MayRunTwice() && upstreams_run_ + 1 < route_->max_upstreams;
  if (may_repeat && !IsStream()) {
    call.deadlines.first_byte =
        std::min(left, std::max(kLeastSilence, route_->goal * kSilentGoals));
  }
  call.send_once = !route_->MayRunTwice();
  // Before the upstream closes the idle connection itself.
  call.max_idle_s = std::max(1, upstream.keep_idle_s - 1);
  if (upstream.keep_idle_s == 0) {
    call.max_idle_s = 0;
  }
  return call;
}

void RequestRun::Send(UpstreamState* upstream) {
  Millis now = EventLoop::Now();
  HttpCall call = NewCall(*upstream);
  UpstreamInstructions instructions;
  instructions.upstream = upstream->entry.id;
  if (workspace_ != nullptr) {
    instructions.workspace = workspace_->id;
  }
  instructions.time_left = std::max(Millis(1), TimeLeft() - kDeadlineMargin);
  int urgency = route_->priority;
  if (workspace_ != nullptr && workspace_->priority) {
    urgency += *workspace_->priority * kUrgencyPerWorkspace;
  }
  const Service* service = config_->FindService(service_);
  if (service != nullptr && service->engine) {
    instructions.urgency = std::clamp(urgency, 0, kLeastUrgent);
    auto named = state_->named_versions.find(request_.model);
    if (named != state_->named_versions.end()) {
      instructions.minimum_version = named->second;
    }
  }
  if (answer_begun_) {
    instructions.resume_after_event = events_.last_id();
    events_.DropPartial();
  }
  deps_->codec->EncodeCall(request_, instructions, &call);
  upstream_ = upstream->entry.id;
  upstream_started_ms_ = upstream->entry.started_ms;
  sent_at_ = now;
  first_event_seen_ = false;
  attempt_streams_ = false;
  facts_ = AnswerFacts();
  if (sends_ > 0) {
    ++state_->counters.repeats;
  }
  ++sends_;
  state_->upstreams.OnBegin(upstream, PromptTokens());
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use(upstream_, request_.model, 1);
  }
  auto self = shared_from_this();
  call.on_head = [self](int status, const HttpHeaders& headers) {
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

bool RequestRun::OnHead(int status, const HttpHeaders& headers) {
  facts_ = deps_->codec->DecodeAnswer(request_, status, headers);
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  if (upstream != nullptr) {
    if (facts_.load) {
      state_->upstreams.OnLoad(upstream, *facts_.load, EventLoop::Now());
    }
    if (facts_.keep_idle_s > 0) {
      upstream->keep_idle_s = facts_.keep_idle_s;
    }
  }
  if (!facts_.same_request) {
    return false;
  }
  attempt_streams_ = IsStream() && status < 300 && facts_.has_signature;
  return status >= 300 || facts_.has_signature;
}

void RequestRun::OnBytes(std::string_view bytes) {
  if (finished_ || !attempt_streams_) {
    return;
  }
  std::string events = events_.Feed(bytes);
  if (events.empty()) {
    return;
  }
  if (!first_event_seen_) {
    first_event_seen_ = true;
    UpstreamState* upstream = state_->upstreams.Find(upstream_);
    if (upstream != nullptr) {
      Millis now = EventLoop::Now();
      state_->upstreams.OnFirstEvent(upstream, PromptTokens(), now - sent_at_,
                                     now);
    }
  }
  if (!answer_begun_) {
    answer_begun_ = true;
    first_event_after_ = EventLoop::Now() - arrived_;
    responder_->StartStream(200, facts_.forward);
  }
  responder_->WriteChunk(std::move(events), {});
}

SendEnd RequestRun::EndOf(const CallOutcome& outcome) const {
  switch (outcome.result) {
    case CallResult::kRefused:
    case CallResult::kConnectTimeout:
      return SendEnd::kNotSent;
    case CallResult::kComplete:
      break;
    case CallResult::kSilent:
      return TimeLeft() <= Millis(1) ? SendEnd::kTimeUp : SendEnd::kSilent;
    case CallResult::kTooLong:
      return SendEnd::kTimeUp;
    case CallResult::kCancelled:
    case CallResult::kTooLarge:
      return SendEnd::kWrongAnswer;
    case CallResult::kBroken:
      return SendEnd::kBroken;
  }
  if (!facts_.same_request) {
    return SendEnd::kWrongAnswer;
  }
  if (facts_.not_run) {
    return SendEnd::kRefusedUnrun;
  }
  if (!facts_.has_signature) {
    return SendEnd::kWrongAnswer;
  }
  return SendEnd::kFailedAnswer;
}

void RequestRun::OnDone(CallOutcome outcome) {
  call_ = 0;
  if (finished_) {
    return;
  }
  bool whole = outcome.result == CallResult::kComplete && facts_.same_request &&
               facts_.has_signature && !facts_.not_run;
  if (whole && IsStream() && attempt_streams_ && !events_.AtBoundary()) {
    whole = false;  // The last event is cut.
    outcome.result = CallResult::kBroken;
  }
  if (whole && !IsFailure(outcome.status)) {
    OnWholeAnswer(outcome, false);
    return;
  }
  SendEnd end = EndOf(outcome);
  Conclude(end, &outcome);
}

void RequestRun::OnWholeAnswer(const CallOutcome& outcome, bool failed) {
  CloseAttempt(failed);
  if (!failed) {
    state_->crashes.OnSuccess(fingerprint_);
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

void RequestRun::CloseAttempt(bool failed) {
  if (upstream_.empty()) {
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  Millis took = EventLoop::Now() - sent_at_;
  if (upstream != nullptr) {
    state_->upstreams.OnEnd(upstream, first_event_seen_ ? 0 : PromptTokens());
    state_->upstreams.OnResult(upstream, failed, took);
  }
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use(upstream_, request_.model, -1);
  }
  upstream_ = UpstreamId();
}

void RequestRun::Conclude(SendEnd end, CallOutcome* outcome) {
  UpstreamId upstream = upstream_;
  bool unrun = end == SendEnd::kNotSent || end == SendEnd::kRefusedUnrun;
  bool misses = end == SendEnd::kRefusedUnrun &&
                outcome->status == kMisdirected && request_.model.is_adapter();
  CloseAttempt(!unrun && end != SendEnd::kTimeUp);
  if (end == SendEnd::kNotSent) {
    if (UpstreamState* it = state_->upstreams.Find(upstream)) {
      state_->upstreams.OnConnectFailure(it, EventLoop::Now());
    }
    deps_->hooks.unreachable(upstream);
  }
  if (end == SendEnd::kBroken) {
    deps_->hooks.broken(fingerprint_, upstream, upstream_started_ms_);
  }
  if (!unrun) {
    may_have_run_ = true;
    ++upstreams_run_;
  }
  if (misses) {
    ++state_->counters.adapter_misses;
    ++misses_;
    state_->residency.OnGone(upstream, request_.model);
    deps_->hooks.adapter_missing(upstream, request_.model);
  } else {
    tried_.push_back(upstream);
  }
  SendFacts facts;
  facts.end = end;
  facts.kind = route_->kind;
  facts.resumable = route_->resumable;
  facts.answer_begun = answer_begun_;
  facts.may_have_run = may_have_run_;
  facts.upstreams_run = upstreams_run_;
  facts.max_upstreams = route_->max_upstreams;
  facts.sends = sends_;
  facts.time_left = TimeLeft();
  SendDecision decision = DecideNext(facts);
  LogInfo("request",
          "Attempt id={} send={} upstream={} end={} status={} "
          "ms={} next={}.",
          request_.id.str(), sends_, upstream.str(), static_cast<int>(end),
          outcome->status, (EventLoop::Now() - sent_at_).count(),
          static_cast<int>(decision.step));
  bool again = decision.step == NextStep::kSendAgain ||
               decision.step == NextStep::kResume;
  if (again &&
      (end == SendEnd::kNotSent || state_->RetriesOf(service_).TryTake(
                                       state_->instances, EventLoop::Now()))) {
    if (misses) {
      auto self = shared_from_this();
      wait_timer_.Start(kAfterMiss, [self] { self->Dispatch(); });
    } else {
      Dispatch();
    }
    return;
  }
  bool passes = end == SendEnd::kFailedAnswer && !answer_begun_;
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
  Fail(FailureOf(facts));
}

void RequestRun::OnTimeUp() {
  GiveUp(ErrorKind::kUpstreamTimeout, ErrorKind::kQueueTimeout,
         "The time for the request is over.");
}

void RequestRun::OnStop() {
  GiveUp(ErrorKind::kOutcomeUnknown, ErrorKind::kStopping,
         "The instance stops.");
}

void RequestRun::GiveUp(ErrorKind kind_if_sent, ErrorKind kind_if_unsent,
                        std::string detail) {
  if (finished_) {
    return;
  }
  CallId call = call_;
  call_ = 0;
  may_have_run_ = may_have_run_ || call != 0;
  CloseAttempt(false);
  Error error{kind_if_unsent, std::move(detail), NotRun::kTrue};
  if (may_have_run_) {
    error.kind = kind_if_sent;
    error.not_run = NotRun::kUnknown;
  }
  Fail(error);
  if (call != 0) {
    deps_->client->Cancel(call);
  }
}

void RequestRun::OnCallerLeft() {
  if (finished_) {
    return;
  }
  ++state_->counters.caller_left;
  CallId call = call_;
  call_ = 0;
  CloseAttempt(false);
  if (answer_begun_) {
    responder_->AbortStream();
  }
  Finish("caller_left", 0);
  if (call != 0) {
    deps_->client->Cancel(call);
  }
}

void RequestRun::Refuse(ErrorKind kind, std::string detail,
                        Millis retry_after) {
  ++state_->counters.refused;
  Error error{kind, std::move(detail), NotRun::kTrue};
  LogInfo("request", "Refused id={} kind={} age_ms={} detail={}",
          request_.id.str(), AnswerFor(kind).name,
          state_->freshness.Age(EventLoop::Now()).count(), error.detail);
  Answer(deps_->codec->EncodeError(error, request_.id, retry_after));
  Finish("refused", AnswerFor(kind).status);
}

void RequestRun::Fail(const Error& error) {
  if (error.not_run == NotRun::kTrue) {
    Refuse(error.kind, error.detail, kRefusalRetry);
    return;
  }
  ++state_->counters.failed;
  if (answer_begun_) {
    responder_->AbortStream();
    Finish("broken_off", AnswerFor(error.kind).status);
    return;
  }
  Answer(deps_->codec->EncodeError(error, request_.id, Millis(0)));
  Finish("failed", AnswerFor(error.kind).status);
}

void RequestRun::Answer(HttpResponse response) {
  response.close_connection = state_->stopping;
  responder_->Send(std::move(response));
}

void RequestRun::Finish(const char* outcome, int status) {
  finished_ = true;
  deadline_timer_.Cancel();
  wait_timer_.Cancel();
  LogInfo("request",
          "Ended id={} outcome={} status={} ms={} sends={} model={} "
          "workspace={} route={} first_ms={} asked={} misses={} config={}.",
          request_.id.str(), outcome, status,
          (EventLoop::Now() - arrived_).count(), sends_,
          ToString(request_.model),
          workspace_ != nullptr ? workspace_->id.str() : "-",
          route_ != nullptr ? route_->name : "-", first_event_after_.count(),
          asked_, misses_, config_ != nullptr ? config_->version() : 0);
  responder_.reset();
  deps_->hooks.ended(connection_);
}

}  // namespace bilberrypitch
