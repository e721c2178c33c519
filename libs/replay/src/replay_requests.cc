// Actions of traces about requests, tokens, documents and queues.
#include <fmt/format.h>

#include <map>

#include "config/config_tracker.h"
#include "config/proposal.h"
#include "dispatch/claim.h"
#include "dispatch/fair_queue.h"
#include "dispatch/quarantine.h"
#include "dispatch/retry_policy.h"
#include "dispatch/upstream_health.h"
#include "limits/token_account.h"
#include "schema/document.pb.h"
#include "schema/peer.pb.h"
#include "schema/trace.pb.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

constexpr size_t kQueueLength = 8;
constexpr uint32_t kMostAllowed = 16;

AttemptFailure FailureNamed(const std::string& name) {
  if (name == "not_sent") return AttemptFailure::kNotSent;
  if (name == "refused") return AttemptFailure::kRefusedUnrun;
  if (name == "silent") return AttemptFailure::kSilent;
  if (name == "too_long") return AttemptFailure::kTooLong;
  if (name == "wrong_answer") return AttemptFailure::kWrongAnswer;
  return AttemptFailure::kBroken;
}

std::string VerdictName(QuarantineVerdict verdict) {
  switch (verdict) {
    case QuarantineVerdict::kFree:
      return "free";
    case QuarantineVerdict::kAlone:
      return "alone";
    case QuarantineVerdict::kBusy:
      return "wait";
    case QuarantineVerdict::kQuarantined:
      return "quarantined";
  }
  return "";
}

std::string VerdictName(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kAbsent:
      return "absent";
    case ClaimVerdict::kOwn:
      return "own";
    case ClaimVerdict::kFinished:
      return "finished";
    case ClaimVerdict::kInUse:
      return "in use";
    case ClaimVerdict::kReused:
      return "reused";
  }
  return "";
}

class RequestTracePart : public TracePart {
 public:
  std::optional<TraceOutcome> Run(const schema::TraceStep& step) override {
    now_ = Millis(step.at_ms());
    const std::string& action = step.action();
    if (action == "attempt_failed") return AttemptFailed(step);
    if (action == "claim") return Claim(step);
    if (action == "crash" || action == "judge" || action == "gossip") {
      return RunQuarantine(step);
    }
    if (action == "push" || action == "pop" || action == "expire") {
      return RunQueue(step);
    }
    if (action == "connect_failed" || action == "answered" ||
        action == "broke" || action == "allowed") {
      return RunHealth(step);
    }
    if (action == "head") return Head(step);
    return RunTokens(step);
  }

 private:
  TraceOutcome AttemptFailed(const schema::TraceStep& step) {
    AttemptFacts facts;
    facts.failure = FailureNamed(step.failure());
    facts.idempotent = step.idempotent();
    facts.answer_begun = step.answer_begun();
    facts.ran_before = step.ran_before();
    facts.remaining = Millis(10000);
    RetryDecision decision = DecideRetry(facts, &retries_);
    if (decision.retry) return {"retried"};
    return {"told",
            fmt::format("not run: {}", NotRunName(decision.error.not_run))};
  }

  // `who` claims key `to` for the request `name`; a first claim stands.
  TraceOutcome Claim(const schema::TraceStep& step) {
    auto it = claims_.find(step.to());
    const schema::Claim* stands = it == claims_.end() ? nullptr : &it->second;
    ClaimVerdict verdict = JudgeClaim(stands, step.who(), step.name());
    if (verdict == ClaimVerdict::kAbsent) {
      claims_[step.to()].set_claim_id(step.who());
      claims_[step.to()].set_fingerprint(step.name());
    }
    return {VerdictName(verdict)};
  }

  TraceOutcome RunQuarantine(const schema::TraceStep& step) {
    Quarantine& it =
        quarantines_.try_emplace(step.who(), InstanceId(step.who()))
            .first->second;
    if (step.action() == "crash") {
      std::vector<Fingerprint> running;
      for (const std::string& name : step.names()) {
        running.push_back(Fingerprint(name));
      }
      it.OnCrash(running, now_);
      return {"counted"};
    }
    if (step.action() == "gossip") {
      Quarantine& to =
          quarantines_.try_emplace(step.to(), InstanceId(step.to()))
              .first->second;
      for (const QuarantineRecord& record : it.Records(now_)) {
        to.OnGossip(record);
      }
      return {"told"};
    }
    return {VerdictName(it.Judge(Fingerprint(step.name()), now_))};
  }

  TraceOutcome RunQueue(const schema::TraceStep& step) {
    if (step.action() == "push") {
      QueuedRequest it;
      it.id = RequestId(step.name());
      it.workspace = WorkspaceId(step.who());
      it.cost_tokens = step.tokens();
      it.enqueued = now_;
      it.deadline = now_ + Millis(step.duration_ms());
      PushOutcome outcome = queue_.Push(std::move(it));
      if (outcome.shed) return {"queued", "shed " + outcome.shed->str()};
      return {outcome.accepted ? "queued" : "refused"};
    }
    TraceOutcome outcome;
    if (step.action() == "pop") {
      auto it = queue_.Pop([](const QueuedRequest&) { return true; });
      outcome.push_back(it ? it->id.str() : "nothing");
      return outcome;
    }
    for (const QueuedRequest& it : queue_.TakeExpired(now_)) {
      outcome.push_back(it.id.str());
    }
    return outcome;
  }

  TraceOutcome RunHealth(const schema::TraceStep& step) {
    UpstreamHealth& it = health_[step.who()];
    if (step.action() == "connect_failed") it.OnConnectFailure(now_);
    if (step.action() == "answered") it.OnAnswer(now_);
    if (step.action() == "broke") it.OnBroken();
    return {std::to_string(it.Allowed(kMostAllowed, now_))};
  }

  // A head of generation `number` with a schema version of `version`.
  TraceOutcome Head(const schema::TraceStep& step) {
    schema::Document document;
    document.mutable_fleet()->add_zones()->set_name("zone");
    Proposal proposal =
        MakeProposal(nullptr, "", {}, document, {}, "attempt", 0);
    schema::Head head;
    head.ParseFromString(proposal.head_bytes);
    head.set_generation(step.number());
    head.set_schema_version(step.version());
    tracker_.OnHead(step.name() == "damaged" ? "\xff"
                                             : head.SerializeAsString());
    for (const ChunkWrite& it : proposal.chunks) {
      tracker_.OnChunk(it.key.substr(it.key.rfind('/') + 1), it.bytes);
    }
    return {fmt::format("generation {}", tracker_.generation())};
  }

  std::optional<TraceOutcome> RunTokens(const schema::TraceStep& step) {
    const std::string& action = step.action();
    TokenAccount& account = accounts_[step.who()];
    if (action == "part") {
      account.SetPart(step.rate(), step.burst(), now_);
      return TraceOutcome{"set"};
    }
    if (action == "reserve") {
      bool done = account.Reserve(step.tokens(), now_);
      return TraceOutcome{done ? "reserved" : "lacks"};
    }
    if (action == "want") {
      account.SetWanted(step.tokens());
      return TraceOutcome{"wanted"};
    }
    if (action == "move") {
      double moved = account.Move(BootId(step.to()), step.tokens(), now_);
      return TraceOutcome{fmt::format("{:.0f} moved", moved)};
    }
    if (action == "deliver") {
      accounts_[step.to()].OnTotals(BootId(step.who()),
                                    account.TotalsFor(BootId(step.to())),
                                    Millis(step.duration_ms()), now_);
      return TraceOutcome{"delivered"};
    }
    if (action == "tick_tokens") {
      account.Tick(now_);
      return TraceOutcome{fmt::format("{:.0f} held", account.Tokens(now_))};
    }
    return std::nullopt;
  }

  Millis now_;
  RetryBudget retries_;
  std::map<std::string, schema::Claim> claims_;
  std::map<std::string, Quarantine> quarantines_;
  std::map<std::string, UpstreamHealth> health_;
  std::map<std::string, TokenAccount> accounts_;
  FairQueue queue_{kQueueLength};
  ConfigTracker tracker_;
};

}  // namespace

std::unique_ptr<TracePart> MakeRequestTracePart() {
  return std::make_unique<RequestTracePart>();
}

}  // namespace bilberrypitch
