// Calls to plain services.
#include "node/service_api.h"

#include <strings.h>

#include <algorithm>

#include "base/hash.h"
#include "dispatch/claim.h"
#include "dispatch/upstream_choice.h"
#include "membership/pause_detector.h"
#include "node/attempt_failure.h"
#include "node/limit_service.h"
#include "node/metrics.h"
#include "node/upstream_table.h"
#include "schema/peer.pb.h"
#include "schema/settings.pb.h"
#include "transport/http_server.h"
#include "transport/store_client.h"

namespace bilberrypitch {
namespace {

// Longest answer that is recorded for an Idempotency-Key.
constexpr size_t kLargestRecordBytes = 256 << 10;
constexpr size_t kLongestIdempotencyKey = 256;

bool IsNamed(const std::string& name, const char* other) {
  return strcasecmp(name.c_str(), other) == 0;
}

// Fields that are between two neighbours only, or that carry credentials.
bool IsPassedOn(const std::string& name) {
  for (const char* it :
       {"Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie", "Host",
        "Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Content-Length", "Expect", "X-Request-Id"}) {
    if (IsNamed(name, it)) return false;
  }
  return true;
}

}  // namespace

ServiceApi::ServiceApi(const NodeContext& context, UpstreamTable* upstreams,
                       LimitService* limits)
    : context_(context), upstreams_(upstreams), limits_(limits) {}

void ServiceApi::Call(const HttpRequest& request, const RequestId& id,
                      const Caller& caller, const RouteEntry& route,
                      const std::string& rest,
                      std::shared_ptr<Responder> responder, Millis now) {
  auto call = std::make_shared<CallState>();
  call->request = request;
  call->id = id;
  call->workspace = caller.workspace;
  call->route = route;
  call->target = rest + (request.query.empty() ? "" : "?" + request.query);
  call->responder = std::move(responder);
  call->deadline = now + Millis(context_.settings->deadlines().request_ms());
  ++in_flight_;
  if (closed_) {
    Fail(call, {ErrorKind::kStopping, "This instance is stopping."});
    return;
  }
  bool limited = route.cost_tokens > 0 && !caller.workspace.empty();
  if (limited && !limits_->Reserve(caller.workspace, route.cost_tokens, now)) {
    Fail(call, {ErrorKind::kRateLimited,
                "The workspace's rate and burst are used up."});
    return;
  }
  {
    std::lock_guard lock(lock_);
    retries_.OnFirstAttempt();
  }
  std::string key(request.headers.Get("Idempotency-Key"));
  if (key.size() > kLongestIdempotencyKey) {
    Fail(call, {ErrorKind::kMalformedRequest, "Idempotency-Key is too long."});
    return;
  }
  if (key.empty() || route.idempotent) {
    Attempt(call);
    return;
  }
  call->claim_key = ClaimKey(caller.workspace, key);
  call->fingerprint = Sha256Hex(request.method + " " + route.name +
                                call->target + "\n" + request.body);
  Claim(call);
}

void ServiceApi::Claim(const CallPtr& call) {
  call->claim_id = RandomHex(16);
  schema::Claim claim;
  claim.set_claim_id(call->claim_id);
  claim.set_fingerprint(call->fingerprint);
  StoreTransaction transaction;
  transaction.conditions.push_back({call->claim_key, 0});
  transaction.writes.push_back(
      {call->claim_key, claim.SerializeAsString(), false, 0});
  context_.store->Commit(transaction, [this, call](StoreStatus status) {
    OnClaimed(call, status);
  });
}

void ServiceApi::OnClaimed(const CallPtr& call, StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      Attempt(call);
      return;
    case StoreStatus::kUnavailable:
      Fail(call, {ErrorKind::kStoreUnavailable,
                  "The Idempotency-Key can't be claimed now."});
      return;
    case StoreStatus::kConflict:
      SettleClaim(call, false);
      return;
    case StoreStatus::kUnknown:
      SettleClaim(call, true);
      return;
  }
}

// Reads whose claim stands. An own one, whose answer was lost, is taken up.
void ServiceApi::SettleClaim(const CallPtr& call, bool may_be_own) {
  context_.store->Read(call->claim_key, [this, call,
                                         may_be_own](StoreReadResult result) {
    schema::Claim claim;
    bool stands = !result.entries.empty();
    if (result.status != StoreStatus::kOk ||
        (stands && !claim.ParseFromString(result.entries[0].value))) {
      Fail(call, {ErrorKind::kStoreUnavailable,
                  "The Idempotency-Key can't be claimed now."});
      return;
    }
    switch (JudgeClaim(stands ? &claim : nullptr, call->claim_id,
                       call->fingerprint)) {
      case ClaimVerdict::kOwn:
        Attempt(call);
        return;
      case ClaimVerdict::kAbsent:
        // The write may still arrive; this attempt's id is given up with it.
        Fail(call, {ErrorKind::kStoreUnavailable,
                    "The Idempotency-Key can't be claimed now."});
        return;
      case ClaimVerdict::kFinished: {
        CallOutcome recorded;
        recorded.status = static_cast<int>(claim.status());
        recorded.headers.Add("Content-Type", claim.content_type());
        recorded.headers.Add("Idempotency-Replayed", "true");
        recorded.body = claim.body();
        Answer(call, recorded);
        return;
      }
      case ClaimVerdict::kInUse:
        Fail(call, {ErrorKind::kKeyInUse,
                    "Another request with this Idempotency-Key was sent and "
                    "its outcome is not known.",
                    NotRun::kUnknown});
        return;
      case ClaimVerdict::kReused:
        Fail(call, {ErrorKind::kKeyReused,
                    "The Idempotency-Key was used for another request."});
        return;
    }
    (void)may_be_own;
  });
}

void ServiceApi::Attempt(const CallPtr& call) {
  Millis now = BootTimeNow();
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  std::vector<UpstreamLoad> loads;
  std::vector<UpstreamEntry> entries;
  for (const UpstreamEntry& it : catalog->upstreams()) {
    if (it.pool == call->route.pool && it.kind == UpstreamKind::kService) {
      UpstreamLoad load = upstreams_->LoadOf(it, now);
      load.batch_slots = 1u << 10;  // A plain service has no batch.
      load.allowed = load.allowed == 0 ? 0 : load.batch_slots;
      loads.push_back(load);
      entries.push_back(it);
    }
  }
  auto index = ChooseUpstream(
      loads, 0, StableHash(call->id.str(), std::to_string(++draw_)));
  if (!index) {
    ReleaseClaim(call);
    NotRun not_run = call->ran_before ? NotRun::kUnknown : NotRun::kTrue;
    Fail(call, {ErrorKind::kUpstreamUnavailable,
                "No upstream of the route can be reached.", not_run});
    return;
  }
  const UpstreamEntry& upstream = entries[*index];
  const schema::Deadlines& limits = context_.settings->deadlines();
  HttpCall out;
  out.method = call->request.method;
  out.address = upstream.address;
  out.target = call->target;
  for (const HttpHeader& it : call->request.headers.all()) {
    if (IsPassedOn(it.name)) {
      out.headers.Add(it.name, it.value);
    }
  }
  out.headers.Add("X-Request-Id", call->id.str());
  out.headers.Add("X-Workspace", call->workspace.str());
  out.body = call->request.body;
  out.own_connection = !call->route.idempotent || call->fresh;
  out.deadlines.connect = Millis(limits.connect_ms());
  out.deadlines.first_byte = Millis(limits.first_byte_ms());
  out.deadlines.progress = Millis(limits.progress_ms());
  out.deadlines.whole = std::max(Millis(1), call->deadline - now);
  ++call->attempts;
  upstreams_->Begin(upstream.id);
  out.on_done = [this, call, id = upstream.id](CallOutcome outcome) {
    upstreams_->End(id);
    OnOutcome(call, id, outcome);
  };
  context_.http->Start(std::move(out));
}

void ServiceApi::OnOutcome(const CallPtr& call, const UpstreamId& upstream,
                           const CallOutcome& outcome) {
  Millis now = BootTimeNow();
  upstreams_->OnResult(upstream, outcome.result, now);
  AttemptFacts facts;
  facts.failure = FailureOf(outcome.result);
  std::string_view echo = outcome.headers.Get("X-Request-Id");
  bool crossed = !echo.empty() && echo != call->id.str();
  if (outcome.result == CallResult::kComplete && !crossed) {
    RecordAnswer(call, outcome);
    return;
  }
  if (crossed) facts.failure = AttemptFailure::kWrongAnswer;
  facts.idempotent = call->route.idempotent;
  facts.ran_before = call->ran_before;
  facts.attempts = call->attempts;
  facts.remaining = call->deadline - now;
  RetryDecision decision;
  {
    std::lock_guard lock(lock_);
    decision = DecideRetry(facts, &retries_);
  }
  call->ran_before =
      call->ran_before || facts.failure != AttemptFailure::kNotSent;
  if (decision.retry) {
    call->fresh = decision.fresh_connection;
    context_.metrics->Add("retries_total", "");
    Attempt(call);
    return;
  }
  if (decision.error.not_run == NotRun::kTrue) {
    ReleaseClaim(call);
  }
  Fail(call, decision.error);
}

// What surely did not run may be sent again with the same key.
void ServiceApi::ReleaseClaim(const CallPtr& call) {
  if (call->claim_key.empty() || call->ran_before) {
    return;
  }
  context_.store->Read(call->claim_key, [this, call](StoreReadResult result) {
    schema::Claim claim;
    bool own = result.status == StoreStatus::kOk && !result.entries.empty() &&
               claim.ParseFromString(result.entries[0].value) &&
               claim.claim_id() == call->claim_id;
    if (!own) {
      return;
    }
    StoreTransaction transaction;
    transaction.conditions.push_back(
        {call->claim_key, result.entries[0].mod_revision});
    StoreWrite write;
    write.key = call->claim_key;
    write.remove = true;
    transaction.writes.push_back(write);
    context_.store->Commit(transaction, [](StoreStatus) {});
  });
}

void ServiceApi::RecordAnswer(const CallPtr& call, const CallOutcome& outcome) {
  if (call->claim_key.empty() || outcome.body.size() > kLargestRecordBytes) {
    Answer(call, outcome);
    return;
  }
  schema::Claim claim;
  claim.set_claim_id(call->claim_id);
  claim.set_fingerprint(call->fingerprint);
  claim.set_finished(true);
  claim.set_status(static_cast<uint32_t>(outcome.status));
  claim.set_content_type(std::string(outcome.headers.Get("Content-Type")));
  claim.set_body(outcome.body);
  StoreTransaction transaction;
  transaction.writes.push_back(
      {call->claim_key, claim.SerializeAsString(), false, 0});
  // The caller gets its answer whether or not the record could be written.
  context_.store->Commit(transaction, [this, call, outcome](StoreStatus) {
    Answer(call, outcome);
  });
}

void ServiceApi::Answer(const CallPtr& call, const CallOutcome& outcome) {
  HttpResponse response;
  response.status = outcome.status;
  for (const char* name : {"Content-Type", "Idempotency-Replayed", "Location",
                           "ETag", "Cache-Control"}) {
    std::string_view value = outcome.headers.Get(name);
    if (!value.empty()) {
      response.headers.Add(name, std::string(value));
    }
  }
  response.headers.Add("X-Request-Id", call->id.str());
  response.body = outcome.body;
  context_.metrics->Add("service_calls_total",
                        "route=\"" + call->route.name + "\"");
  call->responder->Send(std::move(response));
  --in_flight_;
}

void ServiceApi::Fail(const CallPtr& call, const Error& error) {
  context_.metrics->Add(
      "refused_total",
      "kind=\"" + std::string(AnswerFor(error.kind).name) + "\"");
  call->responder->Send(ErrorResponse(error, call->id.str()));
  --in_flight_;
}

}  // namespace bilberrypitch
