// Replay of the decisions about single requests.
#include "base/hash.h"
#include "schema/trace.pb.h"
#include "serving/attempt_policy.h"
#include "serving/crash_tracker.h"
#include "serving/event_splitter.h"
#include "serving/freshness.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

Millis At(const schema::TraceStep& step) { return Millis(step.at_ms()); }

AttemptOutcome EndOf(const std::string& name) {
  static const std::map<std::string, AttemptOutcome> ends = {
      {"not_sent", AttemptOutcome::kNotSent},
      {"refused_unrun", AttemptOutcome::kRejectedNotRun},
      {"failed_answer", AttemptOutcome::kErrorResponse},
      {"wrong_answer", AttemptOutcome::kInvalidResponse},
      {"broken", AttemptOutcome::kConnectionBroken},
      {"silent", AttemptOutcome::kNoResponse},
      {"time_up", AttemptOutcome::kDeadlineExceeded},
  };
  auto it = ends.find(name);
  return it == ends.end() ? AttemptOutcome::kDeadlineExceeded : it->second;
}

RequestKind KindOf(const std::string& name) {
  if (name == "idempotent") {
    return RequestKind::kIdempotent;
  }
  bool stream = name == "stream" || name == "resumable";
  return stream ? RequestKind::kStream : RequestKind::kNonIdempotent;
}

const char* NameOf(CrashDecision verdict) {
  switch (verdict) {
    case CrashDecision::kAllow:
      return "send";
    case CrashDecision::kWait:
      return "wait";
    case CrashDecision::kReject:
      return "refuse";
  }
  return "unknown";
}

class RequestTracePart : public TracePart {
 public:
  RequestTracePart() {
    AddCrashActions();
    actions_["attempt"] = [this](const auto& step) { return Attempt(step); };
    actions_["new_request"] = [this](const auto&) {
      facts_ = AttemptState();
      events_ = EventSplitter();
      return TraceOutcome{"ok"};
    };
    actions_["feed"] = [this](const auto& step) {
      return TraceOutcome{events_.Feed(step.name()), events_.last_id()};
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
      return TraceOutcome{NameOf(
          ledgers_[step.who()].Check(StableHash(step.name()), At(step)))};
    };
    actions_["broken"] = [this](const auto& step) {
      bool told = ledgers_[step.who()].OnConnectionBroken(
          StableHash(step.name()), IdOf(step), At(step));
      return TraceOutcome{told ? "told" : "kept"};
    };
    actions_["suspected"] = [this](const auto& step) {
      ledgers_[step.who()].OnPeerSuspicion(StableHash(step.name()), IdOf(step),
                                           At(step));
      return TraceOutcome{"ok"};
    };
    actions_["crashed"] = [this](const auto& step) {
      ledgers_[step.who()].OnPeerCrash(StableHash(step.name()), IdOf(step),
                                       At(step));
      return TraceOutcome{"ok"};
    };
    actions_["down"] = [this](const auto& step) {
      auto crashes = ledgers_[step.who()].OnUpstreamDown(
          UpstreamId(step.name()), At(step));
      return TraceOutcome{std::to_string(crashes.size())};
    };
    actions_["succeeded"] = [this](const auto& step) {
      ledgers_[step.who()].OnSuccess(StableHash(step.name()));
      return TraceOutcome{"ok"};
    };
  }

  // The upstream is the first of `names`, its start `number`.
  static CrashId IdOf(const schema::TraceStep& step) {
    std::string name = step.names().empty() ? "" : step.names(0);
    return {UpstreamId(name), step.number()};
  }

  // Attempts of one request add up until `new_request`.
  TraceOutcome Attempt(const schema::TraceStep& step) {
    facts_.end = EndOf(step.end());
    facts_.kind = KindOf(step.kind());
    facts_.resumable = step.kind() == "resumable";
    facts_.response_started = facts_.response_started || step.begun();
    bool unrun = facts_.end == AttemptOutcome::kNotSent ||
                 facts_.end == AttemptOutcome::kRejectedNotRun;
    facts_.may_have_run = facts_.may_have_run || !unrun;
    facts_.upstreams_maybe_run += unrun ? 0 : 1;
    facts_.max_upstreams = static_cast<uint32_t>(step.number());
    facts_.time_left = Millis(5000);
    ++facts_.attempts;
    AttemptDecision decision = DecideNextStep(facts_);
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

  std::map<std::string, CrashTracker> ledgers_;  // By instance.
  AttemptState facts_;
  EventSplitter events_;
  Freshness freshness_{Millis(5000)};
};

}  // namespace

std::unique_ptr<TracePart> MakeRequestTracePart() {
  return std::make_unique<RequestTracePart>();
}

}  // namespace bilberrypitch
