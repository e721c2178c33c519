// Admission of a request: its route, key, size and rate, and whether it may
// still run after it has waited.
#include <algorithm>
#include <utility>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// Timeout of a request whose caller states none; the route's also applies.
constexpr Millis kDefaultTimeout{3600 * 1000};
// A request waits for tokens of its workspace's rate for up to a third of the
// route's latency target, but no longer than `kMaxRateWait`.
constexpr int64_t kRateWaitDivisor = 3;
constexpr Millis kMaxRateWait{600};
constexpr Millis kSuspectRetryAfter{1000};

}  // namespace

bool RequestHandler::Admit() {
  config_ = state_->config;
  if (config_ == nullptr) {
    Reject(ErrorKind::kStoreUnavailable, "No configuration is known yet.",
           kRejectionRetryAfter);
    return false;
  }
  route_ = SharePart(config_, config_->FindRoute(request_.host, request_.path));
  if (route_ == nullptr) {
    RejectByConfig(ErrorKind::kNotFound, "No route matches.");
    return false;
  }
  if (!AdmitCaller()) {
    return false;
  }
  if (!ChooseService() || RejectIfTooLarge()) {
    return false;
  }
  deadline_ = arrived_at_ + std::min(request_.timeout.value_or(kDefaultTimeout),
                                     route_->timeout);
  if (EndIfTooLateToSend()) {
    return false;
  }
  if (route_->resumable) {
    event_splitter_.StartAfter(request_.last_event_id);
  }
  WorkspaceId id = workspace_ != nullptr ? workspace_->id : WorkspaceId();
  fingerprint_ =
      RequestFingerprint(request_.method, request_.target, id, request_.body);
  is_probe_ = state_->part_crash_tracker.TakeProbe(shared_parts_, arrived_at_);
  return !RejectIfQuarantined() && !RejectIfPartQuarantined();
}

// Ends a request that crashed upstreams, or may have crashed them. Returns
// whether the request was ended.
bool RequestHandler::RejectIfQuarantined() {
  CrashDecision decision =
      state_->crash_tracker.Check(fingerprint_, EventLoop::Now());
  if (decision == CrashDecision::kAllow) {
    return false;
  }
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown,
          "Upstreams failed when they ran this request.", NotRun::kUnknown});
  } else if (decision == CrashDecision::kWait) {
    Reject(ErrorKind::kUpstreamUnavailable,
           "Connections broke when this request ran; why is not known yet.",
           kSuspectRetryAfter);
  } else {
    Reject(ErrorKind::kInternal,
           "Upstreams that ran this request crashed; it is not run again.",
           Millis(0));
  }
  return true;
}

// Ends a request with a prompt part under which upstreams crash. Returns
// whether the request was ended.
bool RequestHandler::RejectIfPartQuarantined() {
  bool quarantined =
      state_->part_crash_tracker.IsQuarantined(shared_parts_, EventLoop::Now());
  if (!quarantined || is_probe_) {
    return false;
  }
  ++state_->counters.part_quarantined;
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown,
          "Upstreams crash under a part of the prompt.", NotRun::kUnknown});
  } else {
    Reject(ErrorKind::kInternal,
           "Upstreams crash under a part of the prompt; it is not run.",
           Millis(0));
  }
  return true;
}

bool RequestHandler::AdmitCaller() {
  bool key_required =
      !config_->config().workspaces.empty() && route_->requires_key;
  if (!key_required) {
    return true;
  }
  if (!state_->freshness.MayServe(arrived_at_)) {
    Reject(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.",
           kRejectionRetryAfter);
    return false;
  }
  workspace_ = SharePart(config_, config_->FindWorkspace(request_.api_key));
  if (workspace_ == nullptr) {
    RejectByConfig(ErrorKind::kUnauthenticated, "The key is not known.");
    return false;
  }
  return true;
}

void RequestHandler::AdmitRate() {
  if (finished_) {
    return;
  }
  if (workspace_ == nullptr || workspace_->rate_per_s <= 0 ||
      rate_is_charged_) {
    Dispatch();
    return;
  }
  bool charge_tokens = workspace_->charges_tokens && request_.has_token_counts;
  rate_cost_ = charge_tokens
                   ? static_cast<double>(request_.prompt_tokens) +
                         static_cast<double>(request_.max_output_tokens)
                   : workspace_->default_cost;
  auto self = shared_from_this();
  // A decision before the return may replace `workspace_`.
  const WorkspaceId workspace = workspace_->id;
  deps_->hooks.acquire_rate_tokens(
      workspace, rate_cost_,
      [self](const RateDecision& decision) { self->OnRateDecision(decision); });
}

void RequestHandler::OnRateDecision(const RateDecision& decision) {
  if (finished_) {
    return;
  }
  if (decision.granted) {
    rate_is_charged_ = true;
    Dispatch();
    return;
  }
  Millis now = EventLoop::Now();
  Millis bound = std::min(
      Millis(route_->latency_target.count() / kRateWaitDivisor), kMaxRateWait);
  if (now + decision.wait > arrived_at_ + bound) {
    ++state_->counters.rate_limited;
    Reject(ErrorKind::kRateLimited, "The workspace is beyond its rate.",
           decision.wait);
    return;
  }
  auto self = shared_from_this();
  wait_timer_.Start(std::max(Millis(1), decision.wait),
                    [self] { self->AdmitRate(); });
}

// Checks again whether the request may run, since the configuration may have
// changed while it waited. Under a newer configuration the request is routed
// again before its first attempt; after it, only the key is looked up there.
// Ends the request and returns false if it may not run.
bool RequestHandler::Revalidate() {
  if (EndIfTooLateToSend() || RejectIfQuarantined() ||
      RejectIfPartQuarantined()) {
    return false;
  }
  Millis now = EventLoop::Now();
  if (workspace_ != nullptr && !state_->freshness.MayServe(now)) {
    Reject(ErrorKind::kStoreUnavailable,
           "Whether the key still holds is not known here.",
           kRejectionRetryAfter);
    return false;
  }
  if (config_ == state_->config || attempts_ > 0) {
    bool key_valid = workspace_ == nullptr ||
                     state_->config->FindWorkspace(request_.api_key) != nullptr;
    if (!key_valid) {
      Fail({ErrorKind::kKeyRevoked, "The key was withdrawn.",
            may_have_run_ ? NotRun::kUnknown : NotRun::kTrue});
    }
    return key_valid;
  }
  config_ = state_->config;
  route_ = SharePart(config_, config_->FindRoute(request_.host, request_.path));
  if (route_ == nullptr) {
    RejectByConfig(ErrorKind::kNotFound, "No route matches.");
    return false;
  }
  workspace_ = nullptr;
  if (!AdmitCaller()) {
    return false;
  }
  return ChooseService() && !RejectIfTooLarge();
}

// An engine would reject it too, but only after it has waited and has kept
// other prompts waiting.
bool RequestHandler::RejectIfTooLarge() {
  if (config_->CanHoldPrompt(service_, PromptTokens())) {
    return false;
  }
  ++state_->counters.refused_too_large;
  Reject(ErrorKind::kUpstreamUnavailable,
         "The prompt is larger than an engine's memory.", Millis(0));
  return true;
}

void RequestHandler::RejectByConfig(ErrorKind kind, std::string detail) {
  if (state_->freshness.MayRefuse(config_->version(), EventLoop::Now())) {
    Reject(kind, std::move(detail), Millis(0));
    return;
  }
  ++state_->counters.refused_undecided;
  Reject(ErrorKind::kStoreUnavailable,
         detail + " A newer configuration may be in force.",
         kRejectionRetryAfter);
}

}  // namespace bilberrypitch
