// Implements the trace actions for single requests: attempts, crashes, stream
// events and the freshness of API keys.
#include "base/hash.h"
#include "schema/trace.pb.h"
#include "serving/attempt_policy.h"
#include "serving/crash_tracker.h"
#include "serving/event_splitter.h"
#include "serving/freshness.h"
#include "trace_actions.h"

namespace bilberrypitch {
namespace {

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

AttemptOutcome ParseAttemptOutcome(const std::string& name) {
  static const std::map<std::string, AttemptOutcome> outcomes = {
      {"not_sent", AttemptOutcome::kNotSent},
      {"refused_unrun", AttemptOutcome::kRejectedNotRun},
      {"failed_answer", AttemptOutcome::kErrorResponse},
      {"wrong_answer", AttemptOutcome::kInvalidResponse},
      {"broken", AttemptOutcome::kConnectionBroken},
      {"silent", AttemptOutcome::kNoResponse},
      {"time_up", AttemptOutcome::kDeadlineExceeded},
  };
  auto it = outcomes.find(name);
  return it == outcomes.end() ? AttemptOutcome::kDeadlineExceeded : it->second;
}

RequestKind ParseRequestKind(const std::string& name) {
  if (name == "idempotent") {
    return RequestKind::kIdempotent;
  }
  bool stream = name == "stream" || name == "resumable";
  return stream ? RequestKind::kStream : RequestKind::kNonIdempotent;
}

const char* NameOf(CrashDecision decision) {
  switch (decision) {
    case CrashDecision::kAllow:
      return "send";
    case CrashDecision::kWait:
      return "wait";
    case CrashDecision::kReject:
      return "refuse";
  }
  return "unknown";
}

class RequestActions : public TraceActions {
 public:
  RequestActions() {
    AddCrashActions();
    actions_["attempt"] = [this](const auto& step) { return Attempt(step); };
    actions_["new_request"] = [this](const auto&) {
      attempt_state_ = AttemptState();
      event_splitter_ = EventSplitter();
      return TraceOutcome{"ok"};
    };
    actions_["feed"] = [this](const auto& step) {
      return TraceOutcome{event_splitter_.Feed(step.name()),
                          event_splitter_.last_id()};
    };
    actions_["confirmed"] = [this](const auto& step) {
      freshness_.OnConfirmed(At(step));
      return TraceOutcome{"ok"};
    };
    actions_["may_serve_keys"] = [this](const auto& step) {
      return TraceOutcome{freshness_.MayServe(At(step)) ? "yes" : "no"};
    };
  }

 private:
  void AddCrashActions() {
    actions_["check"] = [this](const auto& step) {
      return TraceOutcome{NameOf(crash_trackers_[step.who()].Check(
          StableHash(step.name()), At(step)))};
    };
    actions_["broken"] = [this](const auto& step) {
      bool notify_peers = crash_trackers_[step.who()].OnConnectionBroken(
          StableHash(step.name()), CrashIdOf(step), At(step));
      return TraceOutcome{notify_peers ? "told" : "kept"};
    };
    actions_["suspected"] = [this](const auto& step) {
      crash_trackers_[step.who()].OnPeerSuspicion(StableHash(step.name()),
                                                  CrashIdOf(step), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["crashed"] = [this](const auto& step) {
      crash_trackers_[step.who()].OnPeerCrash(StableHash(step.name()),
                                              CrashIdOf(step), At(step));
      return TraceOutcome{"ok"};
    };
    actions_["down"] = [this](const auto& step) {
      auto crashes = crash_trackers_[step.who()].OnUpstreamDown(
          UpstreamId(step.name()), At(step));
      return TraceOutcome{std::to_string(crashes.size())};
    };
    actions_["succeeded"] = [this](const auto& step) {
      crash_trackers_[step.who()].OnSuccess(StableHash(step.name()));
      return TraceOutcome{"ok"};
    };
  }

  // The upstream is the first of `names`, its start time is `number`.
  static CrashId CrashIdOf(const schema::TraceStep& step) {
    std::string name = step.names().empty() ? "" : step.names(0);
    return {UpstreamId(name), step.number()};
  }

  // Successive attempts belong to the same request until `new_request`.
  TraceOutcome Attempt(const schema::TraceStep& step) {
    attempt_state_.end = ParseAttemptOutcome(step.end());
    attempt_state_.kind = ParseRequestKind(step.kind());
    attempt_state_.resumable = step.kind() == "resumable";
    attempt_state_.response_started =
        attempt_state_.response_started || step.begun();
    bool not_run = attempt_state_.end == AttemptOutcome::kNotSent ||
                   attempt_state_.end == AttemptOutcome::kRejectedNotRun;
    attempt_state_.may_have_run = attempt_state_.may_have_run || !not_run;
    attempt_state_.upstreams_maybe_run += not_run ? 0 : 1;
    attempt_state_.max_upstreams = static_cast<uint32_t>(step.number());
    attempt_state_.time_left = Millis(5000);
    ++attempt_state_.attempts;
    AttemptDecision decision = DecideNextStep(attempt_state_);
    switch (decision.step) {
      case NextStep::kRetry:
        return {"send_again"};
      case NextStep::kResume:
        return {"resume"};
      case NextStep::kForwardResponse:
        return {"pass_answer"};
      case NextStep::kFail:
        break;
    }
    return {"fail", std::string(ErrorInfoFor(decision.error.kind).name),
            std::string(NotRunName(decision.error.not_run))};
  }

  std::map<std::string, CrashTracker> crash_trackers_;  // By instance.
  AttemptState attempt_state_;
  EventSplitter event_splitter_;
  Freshness freshness_{Millis(5000)};
};

}  // namespace

std::unique_ptr<TraceActions> MakeRequestActions() {
  return std::make_unique<RequestActions>();
}

}  // namespace bilberrypitch
