// Dispatch of model requests.
#include "node/dispatcher.h"

#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "config/settings.h"
#include "dispatch/upstream_choice.h"
#include "membership/pause_detector.h"
#include "membership/rendezvous.h"
#include "node/fleet_service.h"
#include "node/limit_service.h"
#include "node/metrics.h"
#include "node/residency_service.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {
namespace {

constexpr char kQuarantinedText[] =
    "This request crashed upstreams and is quarantined.";
// In this time an engine notices that a connection was closed.
constexpr Millis kCloseSeen{2000};

// All look alike: the choice is random among those with room.
void ForgetLoads(std::vector<UpstreamLoad>* loads) {
  for (UpstreamLoad& it : *loads) {
    it.reported = 0;
    it.own_since = 0;
    it.same_zone = true;
  }
}

}  // namespace

Dispatcher::Dispatcher(const NodeContext& context, FleetService* fleet,
                       ResidencyService* residency, UpstreamTable* upstreams,
                       LimitService* limits)
    : context_(context),
      fleet_(fleet),
      residency_(residency),
      upstreams_(upstreams),
      limits_(limits),
      baseline_(context.settings->policy() == kBaselinePolicy),
      demand_(context, residency, upstreams),
      crashes_(context, fleet, upstreams,
               [this](const RequestPtr& request, const AttemptEnd& end) {
                 RetryOrFail(request, end);
               }) {
  for (size_t i = 0; i < kShards; ++i) {
    shards_.push_back(std::make_unique<Shard>(
        context.settings->sizes().queue_length(),
        baseline_ ? QueueOrder::kByArrival : QueueOrder::kFair));
  }
}

Dispatcher::Shard& Dispatcher::ShardOf(const PoolId& pool) {
  return *shards_[StableHash(pool.str()) % kShards];
}

QueuedRequest Dispatcher::ToQueued(const ModelRequest& request,
                                   Millis now) const {
  const ModelRequestFacts& facts = request.facts();
  QueuedRequest it;
  it.id = facts.id;
  it.workspace = facts.workspace;
  it.weight = facts.weight;
  it.cost_tokens = facts.cost();
  it.ref = facts.adapter.ref;
  it.pool = facts.adapter.pool;
  it.enqueued = facts.admitted;
  Millis longest(context_.settings->deadlines().queue_ms());
  it.deadline = std::min(facts.deadline, now + longest);
  return it;
}

void Dispatcher::Refuse(const RequestPtr& request, ErrorKind kind,
                        const char* detail) {
  context_.metrics->Add("refused_total",
                        "kind=\"" + std::string(AnswerFor(kind).name) + "\"");
  NotRun not_run = request->ran_before ? NotRun::kUnknown : NotRun::kTrue;
  request->Fail({kind, detail, not_run});
}

void Dispatcher::Submit(RequestPtr request, Millis now) {
  const ModelRequestFacts& facts = request->facts();
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  const WorkspaceEntry* workspace = catalog->FindWorkspace(facts.workspace);
  if (workspace == nullptr || facts.cost() > workspace->burst_tokens) {
    Refuse(request, ErrorKind::kRequestExceedsBurst,
           "Prompt and max_tokens exceed the workspace's burst.");
    return;
  }
  {
    std::lock_guard lock(lock_);
    if (closed_) {
      Refuse(request, ErrorKind::kStopping, "This instance is stopping.");
      return;
    }
    retries_.OnFirstAttempt();
  }
  if (crashes_.Judge(facts.fingerprint, now) ==
      QuarantineVerdict::kQuarantined) {
    Refuse(request, ErrorKind::kQuarantined, kQuarantinedText);
    return;
  }
  demand_.OnArrival(facts.adapter.ref);
  Shard& shard = ShardOf(facts.adapter.pool);
  RequestPtr shed;
  {
    std::lock_guard lock(shard.lock);
    double ahead = shard.queue.WaitingCost(facts.workspace) + facts.cost();
    double queue_s = context_.settings->deadlines().queue_ms() / 1000.0;
    bool hopeless = ahead > workspace->burst_tokens +
                                workspace->rate_tokens_per_s * queue_s;
    if (hopeless) {
      Refuse(request, ErrorKind::kRateLimited,
             "The workspace's rate can't carry what already waits.");
      return;
    }
    PushOutcome outcome = shard.queue.Push(ToQueued(*request, now));
    if (!outcome.accepted) {
      Refuse(request, ErrorKind::kOverloaded, "The queue is full.");
      return;
    }
    shard.requests[facts.id] = request;
    if (outcome.shed) {
      shed = shard.requests[*outcome.shed];
      shard.requests.erase(*outcome.shed);
    }
  }
  if (shed != nullptr) {
    Refuse(shed, ErrorKind::kOverloaded, "Shed for a smaller workspace.");
  }
  Pump(&shard, now);
}

void Dispatcher::PumpAll(Millis now) {
  for (const auto& shard : shards_) {
    Pump(shard.get(), now);
  }
}

void Dispatcher::Pump(Shard* shard, Millis now) {
  std::set<WorkspaceId> poor;  // Lack tokens in this round.
  while (PumpOne(shard, &poor, now)) {
  }
}

bool Dispatcher::PumpOne(Shard* shard, std::set<WorkspaceId>* poor,
                         Millis now) {
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  if (catalog == nullptr || !fleet_->Trusted()) {
    return false;
  }
  RequestPtr request;
  std::map<RequestId, Choice> choices;
  {
    std::lock_guard lock(shard->lock);
    ++shard->draw;
    uint64_t draw =
        StableHash(context_.boot.str(), std::to_string(shard->draw));
    auto popped = shard->queue.Pop([&](const QueuedRequest& it) {
      if (poor->count(it.workspace) != 0) {
        return false;
      }
      const RequestPtr& candidate = shard->requests[it.id];
      auto choice = Choose(*candidate, draw, *catalog, now);
      if (!choice) {
        return false;
      }
      if (limits_->Tokens(it.workspace, now) < it.cost_tokens) {
        candidate->lacked_tokens = true;
        poor->insert(it.workspace);
        return false;
      }
      choices[it.id] = std::move(*choice);
      return true;
    });
    if (!popped) {
      return false;
    }
    request = shard->requests[popped->id];
    if (!Begin(request, choices[popped->id], now)) {
      poor->insert(popped->workspace);
      shard->queue.Return(std::move(*popped));
      return true;
    }
    shard->requests.erase(popped->id);
  }
  const Choice& choice = choices[request->facts().id];
  // Looked at after it counts as running: a document that withdraws the key
  // later finds it there.
  if (!context_.catalog()->KeyInForce(request->facts().key_id)) {
    Undo(request, choice, now);
    Refuse(request, ErrorKind::kKeyWithdrawn, "The key was withdrawn.");
    return true;
  }
  Send(request, choice, now);
  return true;
}

std::optional<Dispatcher::Choice> Dispatcher::Choose(
    const ModelRequest& request, uint64_t draw, const Catalog& catalog,
    Millis now) {
  const ModelRequestFacts& facts = request.facts();
  QuarantineVerdict verdict = crashes_.Judge(facts.fingerprint, now);
  if (verdict == QuarantineVerdict::kBusy) {
    return std::nullopt;
  }
  std::vector<ResidencyCandidate> candidates =
      residency_->Candidates(facts.adapter.ref);
  std::vector<UpstreamLoad> loads;
  std::vector<Choice> choices;
  for (const ResidencyCandidate& it : candidates) {
    const UpstreamEntry* upstream = catalog.FindUpstream(it.upstream);
    if (upstream == nullptr) {
      continue;
    }
    if (verdict == QuarantineVerdict::kAlone &&
        !crashes_.MayRunAlone(it.upstream)) {
      continue;
    }
    loads.push_back(upstreams_->LoadOf(*upstream, now));
    choices.push_back({it, *upstream});
  }
  NoteStall(request, candidates.empty(), now);
  if (baseline_) {
    ForgetLoads(&loads);
  }
  auto index = ChooseUpstream(loads, baseline_ ? 0 : facts.affinity, draw);
  return index ? std::optional<Choice>(choices[*index]) : std::nullopt;
}

// How long a request waited for its adapter to be loaded anywhere.
void Dispatcher::NoteStall(const ModelRequest& request, bool missing,
                           Millis now) {
  ModelRequest::Stall& stall = request.stall;
  if (missing || stall.ended) {
    stall.begun = stall.begun || missing;
    return;
  }
  stall.ended = true;
  Millis length = stall.begun ? now - request.facts().admitted : Millis();
  context_.metrics->Observe("load_stall_seconds", length.seconds());
  if (stall.begun) {
    context_.metrics->Add("load_stalls_total", "");
  }
}

bool Dispatcher::Begin(const RequestPtr& request, const Choice& choice,
                       Millis now) {
  const ModelRequestFacts& facts = request->facts();
  if (!residency_->Begin(choice.candidate, now)) {
    return false;
  }
  if (!limits_->Reserve(facts.workspace, facts.cost(), now)) {
    residency_->End(choice.candidate);
    return false;
  }
  upstreams_->Begin(choice.upstream.id);
  ++request->attempts;
  crashes_.OnBegin(facts.fingerprint, choice.upstream.id);
  std::lock_guard lock(lock_);
  running_[facts.id] = {request, choice};
  return true;
}

// Takes back a Begin after which nothing was sent.
void Dispatcher::Undo(const RequestPtr& request, const Choice& choice,
                      Millis now) {
  const ModelRequestFacts& facts = request->facts();
  residency_->End(choice.candidate);
  limits_->Refund(facts.workspace, facts.cost(), now);
  upstreams_->End(choice.upstream.id);
  crashes_.OnEnd(facts.fingerprint, choice.upstream.id, false);
  std::lock_guard lock(lock_);
  running_.erase(facts.id);
}

void Dispatcher::Send(const RequestPtr& request, const Choice& choice,
                      Millis now) {
  const ModelRequestFacts& facts = request->facts();
  const schema::Deadlines& limits = context_.settings->deadlines();
  CallDeadlines deadlines;
  deadlines.connect = Millis(limits.connect_ms());
  deadlines.first_byte = Millis(limits.first_byte_ms());
  deadlines.progress = Millis(limits.progress_ms());
  deadlines.whole = std::max(Millis(1), facts.deadline - now);
  if (request->attempts == 1) {
    context_.metrics->Observe("queue_wait_seconds",
                              (now - facts.admitted).seconds());
  }
  request->Start(context_.http, choice.upstream.address, choice.candidate,
                 deadlines, request->fresh_connection,
                 [this, choice](RequestPtr it, AttemptEnd end) {
                   OnAttemptEnd(it, choice, end);
                 });
}

void Dispatcher::OnAttemptEnd(const RequestPtr& request, const Choice& choice,
                              const AttemptEnd& end) {
  Millis now = BootTimeNow();
  const ModelRequestFacts& facts = request->facts();
  upstreams_->OnResult(choice.upstream.id, end.result, now);
  bool broke =
      !end.answered && !end.caller_gone && end.result == CallResult::kBroken;
  if (broke) {
    crashes_.OnBroken(choice.upstream.id, choice.upstream.address,
                      RunningAt(choice.upstream.id), request, end);
  }
  upstreams_->End(choice.upstream.id);
  EndResidency(facts, choice.candidate, end.result, now);
  double used = end.output_tokens;
  if (end.answered || used > 0) {
    used += facts.prompt_tokens;
  }
  limits_->Refund(facts.workspace, facts.cost() - used, now);
  if (end.not_loaded) {
    residency_->Withdraw(choice.candidate);
  }
  crashes_.OnEnd(facts.fingerprint, choice.upstream.id, end.answered);
  {
    std::lock_guard lock(lock_);
    running_.erase(facts.id);
  }
  if (end.answered) {
    context_.metrics->Add("answered_total", "");
    context_.metrics->Add("output_tokens_total", "",
                          static_cast<uint64_t>(end.output_tokens));
    context_.metrics->Observe("request_seconds",
                              (now - facts.admitted).seconds());
  } else if (end.caller_gone) {
    context_.metrics->Add("ended_early_total", "");
  } else if (!broke) {
    RetryOrFail(request, end);
  }
  Pump(&ShardOf(facts.adapter.pool), now);
}

// An engine that did not see the connection close may still run the request.
void Dispatcher::EndResidency(const ModelRequestFacts& facts,
                              const ResidencyCandidate& candidate,
                              CallResult result, Millis now) {
  if (result == CallResult::kComplete || SurelyNotSent(result)) {
    residency_->End(candidate);
  } else if (result == CallResult::kSilent || result == CallResult::kTooLong) {
    residency_->EndAt(candidate, std::max(facts.deadline, now + kCloseSeen));
  } else {
    residency_->EndAt(candidate, now + kCloseSeen);
  }
}

void Dispatcher::RetryOrFail(const RequestPtr& request, const AttemptEnd& end) {
  Millis now = BootTimeNow();
  const ModelRequestFacts& facts = request->facts();
  AttemptFacts attempt;
  attempt.failure = end.failure;
  attempt.idempotent = true;  // A completion changes nothing.
  attempt.answer_begun = end.output_tokens > 0;
  attempt.ran_before = request->ran_before;
  attempt.attempts = request->attempts;
  attempt.remaining = facts.deadline - now;
  bool quarantined =
      crashes_.Judge(facts.fingerprint, now) == QuarantineVerdict::kQuarantined;
  RetryDecision decision;
  {
    std::lock_guard lock(lock_);
    decision = DecideRetry(attempt, &retries_);
  }
  if (end.failure != AttemptFailure::kNotSent &&
      end.failure != AttemptFailure::kRefusedUnrun) {
    request->ran_before = true;
  }
  if (quarantined) {
    Refuse(request, ErrorKind::kQuarantined, kQuarantinedText);
    return;
  }
  if (!decision.retry) {
    context_.metrics->Add(
        "failed_total",
        "kind=\"" + std::string(AnswerFor(decision.error.kind).name) + "\"");
    request->Fail(decision.error);
    return;
  }
  context_.metrics->Add("retries_total", "");
  request->fresh_connection = decision.fresh_connection;
  Requeue(request, now);
}

void Dispatcher::Requeue(const RequestPtr& request, Millis now) {
  Shard& shard = ShardOf(request->facts().adapter.pool);
  {
    std::lock_guard lock(shard.lock);
    QueuedRequest queued = ToQueued(*request, now);
    queued.cost_tokens = request->facts().cost();
    shard.requests[request->facts().id] = request;
    shard.queue.Return(std::move(queued));
  }
  Pump(&shard, now);
}

void Dispatcher::ExpireWaiting(Millis now) {
  for (const auto& shard : shards_) {
    std::vector<RequestPtr> expired;
    {
      std::lock_guard lock(shard->lock);
      for (const QueuedRequest& it : shard->queue.TakeExpired(now)) {
        expired.push_back(shard->requests[it.id]);
        shard->requests.erase(it.id);
      }
    }
    for (const RequestPtr& it : expired) {
      if (it->lacked_tokens) {
        Refuse(it, ErrorKind::kRateLimited,
               "The workspace's rate and burst are used up.");
      } else {
        Refuse(it, ErrorKind::kQueueTimeout,
               "No engine could take the request in time.");
      }
    }
  }
}

void Dispatcher::Tick(Millis now) {
  ExpireWaiting(now);
  PumpAll(now);
  crashes_.Tick(now);
  if (demand_.Due(now)) {
    UpdateWanted(now);
    demand_.Send(Waiting(), now);
  }
}

// What waits for each adapter version, over all pools.
std::vector<WaitingForAdapter> Dispatcher::Waiting() const {
  std::vector<WaitingForAdapter> all;
  for (const auto& shard : shards_) {
    std::lock_guard lock(shard->lock);
    for (WaitingForAdapter& it : shard->queue.Waiting()) {
      all.push_back(std::move(it));
    }
  }
  return all;
}

// Tells the limits what waiting requests lack, so that peers move tokens here.
void Dispatcher::UpdateWanted(Millis now) {
  std::map<WorkspaceId, double> waiting_cost;
  for (const auto& shard : shards_) {
    std::lock_guard lock(shard->lock);
    for (const WaitingForWorkspace& it : shard->queue.WaitingByWorkspace()) {
      waiting_cost[it.workspace] += it.cost_tokens;
    }
  }
  for (const auto& [workspace, cost] : waiting_cost) {
    double lacking = cost - limits_->Tokens(workspace, now);
    limits_->SetWanted(workspace, std::max(0.0, lacking));
  }
}

std::vector<Fingerprint> Dispatcher::RunningAt(
    const UpstreamId& upstream) const {
  std::lock_guard lock(lock_);
  std::vector<Fingerprint> running;
  for (const auto& [id, it] : running_) {
    if (it.choice.upstream.id == upstream) {
      running.push_back(it.request->facts().fingerprint);
    }
  }
  return running;
}

void Dispatcher::OnDocument(const Catalog& catalog) {
  std::vector<RequestPtr> withdrawn;
  {
    std::lock_guard lock(lock_);
    for (const auto& [id, running] : running_) {
      if (!catalog.KeyInForce(running.request->facts().key_id)) {
        withdrawn.push_back(running.request);
      }
    }
  }
  Error error{ErrorKind::kKeyWithdrawn, "The key was withdrawn.",
              NotRun::kFalse};
  for (const RequestPtr& it : withdrawn) {
    it->Abort(context_.http, error);
  }
  error.not_run = NotRun::kTrue;
  for (const auto& shard : shards_) {
    std::vector<RequestPtr> waiting;
    {
      std::lock_guard lock(shard->lock);
      for (auto it = shard->requests.begin(); it != shard->requests.end();) {
        if (catalog.KeyInForce(it->second->facts().key_id)) {
          ++it;
          continue;
        }
        waiting.push_back(it->second);
        shard->queue.Remove(it->first);
        it = shard->requests.erase(it);
      }
    }
    for (const RequestPtr& it : waiting) {
      Refuse(it, ErrorKind::kKeyWithdrawn, "The key was withdrawn.");
    }
  }
}

void Dispatcher::Close() {
  std::lock_guard lock(lock_);
  closed_ = true;
}

size_t Dispatcher::waiting() const {
  size_t n = 0;
  for (const auto& shard : shards_) {
    std::lock_guard lock(shard->lock);
    n += shard->queue.size();
  }
  return n;
}

size_t Dispatcher::in_flight() const {
  std::lock_guard lock(lock_);
  return running_.size() + crashes_.held();
}

}  // namespace bilberrypitch
