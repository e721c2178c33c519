// Admission, choice of the upstream and the end of one request. What it waits
// for is in request_waits.cc, its attempts at upstreams in request_attempt.cc.
#include "gateway/request_handler.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr Millis kLongestCall{3600 * 1000};
// A request within its workspace's rate waits so long for tokens.
constexpr int64_t kRateWaitParts = 3;  // A third of the goal.
constexpr Millis kLongestRateWait{600};
constexpr Millis kNoUpstreamWait{120};
constexpr Millis kRefusalRetry{400};
constexpr Millis kSuspectRetry{1000};

}  // namespace

RequestHandler::RequestHandler(const RequestDeps* deps, ServingRequest request,
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
                        [self] { self->OnTimeUp(); });
  state_->RetryBudgetFor(service_).OnRequest(arrived_);
  AdmitRate();
}

bool RequestHandler::Admit() {
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
  deadline_ = arrived_ + std::min(request_.timeout.value_or(kLongestCall),
                                  route_->timeout);
  WorkspaceId id = workspace_ != nullptr ? workspace_->id : WorkspaceId();
  fingerprint_ =
      RequestFingerprint(request_.method, request_.target, id, request_.body);
  return !IsHeldBack();
}

// Ends a request that upstreams crashed with.
bool RequestHandler::IsHeldBack() {
  CrashDecision verdict =
      state_->crash_tracker.Check(fingerprint_, EventLoop::Now());
  if (verdict == CrashDecision::kAllow) {
    return false;
  }
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown,
          "Upstreams failed when they ran this request.", NotRun::kUnknown});
  } else if (verdict == CrashDecision::kWait) {
    Refuse(ErrorKind::kUpstreamUnavailable,
           "Connections broke when this request ran; why is not known yet.",
           kSuspectRetry);
  } else {
    Refuse(ErrorKind::kInternal,
           "Upstreams that ran this request crashed; it is not run again.",
           Millis(0));
  }
  return true;
}

bool RequestHandler::AdmitCaller() {
  bool asks_keys =
      !config_->config().workspaces.empty() && route_->requires_key;
  if (!asks_keys) {
    return true;
  }
  if (!state_->freshness.MayServe(arrived_)) {
    Refuse(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.", kRefusalRetry);
    return false;
  }
  workspace_ = config_->FindWorkspace(request_.api_key);
  if (workspace_ == nullptr) {
    Refuse(ErrorKind::kUnauthenticated, "The key is not known.", Millis(0));
    return false;
  }
  return true;
}

void RequestHandler::AdmitRate() {
  if (finished_) {
    return;
  }
  if (workspace_ == nullptr || workspace_->rate_per_s <= 0) {
    Dispatch();
    return;
  }
  bool tokens = workspace_->charges_tokens && request_.has_token_counts;
  rate_cost_ = tokens ? static_cast<double>(request_.prompt_tokens +
                                            request_.max_output_tokens)
                      : workspace_->default_cost;
  auto self = shared_from_this();
  deps_->hooks.acquire_rate_tokens(
      workspace_->id, rate_cost_,
      [self](const RateDecision& verdict) { self->OnRate(verdict); });
}

void RequestHandler::OnRate(const RateDecision& verdict) {
  if (finished_) {
    return;
  }
  if (verdict.granted) {
    Dispatch();
    return;
  }
  Millis now = EventLoop::Now();
  Millis bound =
      std::min(Millis(route_->latency_target.count() / kRateWaitParts),
               kLongestRateWait);
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
bool RequestHandler::StillAllowed() {
  if (IsHeldBack()) {
    return false;
  }
  Millis now = EventLoop::Now();
  if (workspace_ != nullptr && !state_->freshness.MayServe(now)) {
    Refuse(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.", kRefusalRetry);
    return false;
  }
  if (config_ == state_->config || sends_ > 0) {
    bool key_holds = workspace_ == nullptr ||
                     state_->config->FindWorkspace(request_.api_key) != nullptr;
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

void RequestHandler::Dispatch() {
  if (finished_ || !StillAllowed()) {
    return;
  }
  waiting_engine_ = UpstreamId();
  state_->upstreams.MoveSuspectRequest(&suspect_at_, UpstreamId());
  Millis now = EventLoop::Now();
  ChoiceInput facts;
  facts.model = request_.model;
  const Service* service = config_->FindService(service_);
  if (service == nullptr || !service->engine) {
    facts.model = ModelRef();
  }
  auto named = state_->required_versions.find(facts.model);
  facts.minimum_version =
      named != state_->required_versions.end() ? named->second : 0;
  facts.prompt_tokens = PromptTokens();
  facts.zone = state_->settings.zone;
  facts.now = now;
  facts.tried = tried_;
  facts.suspect = suspect_;
  facts.load_requested_at = &wanted_at_;
  std::optional<UpstreamChoice> choice = ChooseUpstream(
      state_->upstreams.UsableOf(service_, now), state_->residency, facts);
  if (!choice) {
    Millis bound = std::max(route_->latency_target, kNoUpstreamWait * 2);
    if (now > arrived_ + bound || TimeLeft() < kNoUpstreamWait * 2) {
      Fail({ErrorKind::kUpstreamUnavailable, "No upstream can take it.",
            may_have_run_ ? NotRun::kUnknown : NotRun::kTrue});
      return;
    }
    auto self = shared_from_this();
    wait_timer_.Start(kNoUpstreamWait, [self] { self->Dispatch(); });
    return;
  }
  if (suspect_) {
    state_->upstreams.MoveSuspectRequest(&suspect_at_,
                                         choice->upstream->entry.id);
  }
  if (choice->resident) {
    SendWhenRead(choice->upstream);
  } else {
    EndReading(false);
    WaitForAdapter(*choice);
  }
}

void RequestHandler::OnTimeUp() {
  GiveUp(ErrorKind::kUpstreamTimeout, ErrorKind::kQueueTimeout,
         "The time for the request is over.");
}

void RequestHandler::OnShutdown() {
  GiveUp(ErrorKind::kOutcomeUnknown, ErrorKind::kStopping,
         "The instance stops.");
}

void RequestHandler::GiveUp(ErrorKind kind_if_sent, ErrorKind kind_if_unsent,
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

void RequestHandler::OnCallerDisconnected() {
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

void RequestHandler::Refuse(ErrorKind kind, std::string detail,
                            Millis retry_after) {
  ++state_->counters.refused;
  Error error{kind, std::move(detail), NotRun::kTrue};
  LogInfo("request", "Refused id={} kind={} age_ms={} detail={}",
          request_.id.str(), ErrorInfoFor(kind).name,
          state_->freshness.Age(EventLoop::Now()).count(), error.detail);
  Answer(deps_->codec->EncodeError(error, request_.id, retry_after));
  Finish("refused", ErrorInfoFor(kind).http_status);
}

void RequestHandler::Fail(const Error& error) {
  if (error.not_run == NotRun::kTrue) {
    Refuse(error.kind, error.detail, kRefusalRetry);
    return;
  }
  ++state_->counters.failed;
  if (answer_begun_) {
    responder_->AbortStream();
    Finish("broken_off", ErrorInfoFor(error.kind).http_status);
    return;
  }
  Answer(deps_->codec->EncodeError(error, request_.id, Millis(0)));
  Finish("failed", ErrorInfoFor(error.kind).http_status);
}

void RequestHandler::Answer(HttpResponse response) {
  response.close_connection = state_->stopping;
  responder_->Send(std::move(response));
}

void RequestHandler::Measure(std::string_view outcome) {
  if (outcome != "answered") {
    return;
  }
  state_->response_latency.Add(EventLoop::Now() - arrived_);
  if (first_event_after_ > Millis(0)) {
    state_->first_event_latency.Add(first_event_after_);
    state_->max_event_gap.Add(longest_pause_);
  }
  if (asked_ > 0) {
    state_->adapter_wait_time.Add(sent_at_ - waiting_since_);
  }
}

void RequestHandler::Finish(const char* outcome, int status) {
  finished_ = true;
  EndReading(false);
  EndWaits();
  state_->upstreams.MoveSuspectRequest(&suspect_at_, UpstreamId());
  deadline_timer_.Cancel();
  wait_timer_.Cancel();
  Measure(outcome);
  LogInfo("request",
          "Ended id={} outcome={} status={} ms={} sends={} model={} "
          "workspace={} route={} first_ms={} pause_ms={} asked={} misses={} "
          "upstream={} config={}.",
          request_.id.str(), outcome, status,
          (EventLoop::Now() - arrived_).count(), sends_,
          ToString(request_.model),
          workspace_ != nullptr ? workspace_->id.str() : "-",
          route_ != nullptr ? route_->name : "-", first_event_after_.count(),
          longest_pause_.count(), asked_, misses_, last_upstream_.str(),
          config_ != nullptr ? config_->version() : 0);
  responder_.reset();
  deps_->hooks.request_ended(connection_);
}

}  // namespace bilberrypitch
