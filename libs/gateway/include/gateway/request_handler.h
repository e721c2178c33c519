// One request from its arrival to the end of its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "serving/attempt_policy.h"
#include "serving/event_splitter.h"
#include "serving/rate_limiter.h"
#include "serving/request.h"
#include "serving/upstream_chooser.h"
#include "transport/http_call.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ActiveConfig;
class ApiCodec;
class EventLoop;
class EventLoopHttpClient;
class Responder;
struct Route;
struct ServingState;
struct Workspace;

// What a request asks of the rest of the instance.
struct RequestHooks {
  // An adapter is wanted on an engine: tell its owner. One that insists is to
  // get the next place.
  std::function<void(const UpstreamId&, const ModelRef&, int64_t version,
                     bool insists)>
      request_load;
  // A request begins or ends to wait for an adapter there.
  std::function<void(const UpstreamId&, const ModelRef&, int change)>
      adapter_wait_changed;
  std::function<void(const UpstreamId&, const ModelRef&)> adapter_missing;
  // A request on an adapter began or ended.
  std::function<void(const UpstreamId&, const ModelRef&, int change)>
      adapter_use_changed;
  // A connection broke under the request: its upstream may have crashed.
  std::function<void(uint64_t fingerprint, const UpstreamId&,
                     int64_t started_ms)>
      connection_broken;
  // No connection could be made to the upstream.
  std::function<void(const UpstreamId&)> upstream_unreachable;
  // Asks the engine's owner whether the prompt may go there; 0: no owner.
  std::function<uint64_t(const UpstreamId&, int64_t tokens, int urgency,
                         std::function<void()> granted)>
      request_prefill;
  std::function<void(uint64_t number)> renew_prefill_request;
  std::function<bool(uint64_t number)> prefill_owner_responded;
  std::function<void(uint64_t number, bool read)> release_prefill;
  std::function<void(uint64_t connection)> request_ended;
  // Takes tokens of a workspace's rate; `done` may come before the return.
  std::function<void(const WorkspaceId&, double cost,
                     std::function<void(RateDecision)> done)>
      acquire_rate_tokens;
};

struct RequestDeps {
  EventLoop* loop = nullptr;
  EventLoopHttpClient* client = nullptr;
  const ApiCodec* codec = nullptr;
  ServingState* state = nullptr;
  RequestHooks hooks;
};

// On the loop's thread only. Keeps itself alive until it has ended.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
 public:
  RequestHandler(const RequestDeps* deps, ServingRequest request,
                 std::shared_ptr<Responder> responder, uint64_t connection);

  void Start();
  // The caller's connection has ended.
  void OnCallerDisconnected();
  // An adapter that this request waits for is on an engine.
  void OnAdapterReady(const UpstreamId& engine, const ModelRef& target);
  // It is on its way to an engine that this request asked.
  void OnAdapterLoading(const UpstreamId& engine, const ModelRef& target);
  // The engine has no place for an adapter that this request waits for.
  void OnEngineFull(const UpstreamId& engine, const ModelRef& target);
  // The process ends now: answers what is open.
  void OnShutdown();
  bool finished() const { return finished_; }

 private:
  bool Admit();
  bool AdmitCaller();
  bool IsHeldBack();
  void AdmitRate();
  void OnRate(const RateDecision& verdict);
  bool StillAllowed();
  void Dispatch();
  void SendWhenRead(UpstreamState* upstream);
  void EndWaits();
  bool Insists() const;
  Millis Patience() const;
  bool WaitsFor(const UpstreamId& engine, const ModelRef& target) const;
  void AskReading(const UpstreamId& engine);
  void OnReadingGranted();
  void OnReadingSilence();
  void EndReading(bool read);
  int Urgency() const;
  void WaitForAdapter(const UpstreamChoice& choice);
  void Send(UpstreamState* upstream);
  HttpCall NewCall(const UpstreamState& upstream) const;
  bool OnHead(int status, const HttpHeaders& headers);
  void OnBytes(std::string_view bytes);
  void OnDone(CallOutcome outcome);
  AttemptOutcome EndOf(const CallOutcome& outcome) const;
  void OnWholeAnswer(const CallOutcome& outcome, bool failed);
  void Conclude(AttemptOutcome end, CallOutcome* outcome);
  void CloseAttempt(bool failed);
  void OnTimeUp();
  void GiveUp(ErrorKind kind_if_sent, ErrorKind kind_if_unsent,
              std::string detail);
  void Refuse(ErrorKind kind, std::string detail, Millis retry_after);
  void Fail(const Error& error);
  void Answer(HttpResponse response);
  void Measure(std::string_view outcome);
  void Finish(const char* outcome, int status);
  Millis TimeLeft() const;
  bool IsStream() const;
  int64_t PromptTokens() const;

  const RequestDeps* const deps_;
  ServingState* const state_;
  const ServingRequest request_;
  std::shared_ptr<Responder> responder_;
  const uint64_t connection_;
  const Millis arrived_;

  std::shared_ptr<const ActiveConfig> config_;  // Routed under this one.
  const Route* route_ = nullptr;                // In `config_`.
  const Workspace* workspace_ = nullptr;        // In `config_`; null: no key.
  ServiceId service_;
  uint64_t fingerprint_ = 0;
  double rate_cost_ = 0;
  Millis deadline_;
  Timer deadline_timer_;
  Timer wait_timer_;

  // The question whether an engine may read the prompt; 0: none is open.
  uint64_t reading_ = 0;
  UpstreamId reading_engine_;
  UpstreamId waiting_engine_;  // Asked last for the adapter; empty: not now.
  std::set<UpstreamId> wanted_at_;  // Engines that may be loading it.
  Millis waiting_since_;
  uint32_t asked_ = 0;  // Times that the adapter was asked for.

  // The attempt under way.
  CallId call_ = 0;  // 0: none.
  UpstreamId upstream_;
  int64_t upstream_started_ms_ = 0;
  Millis sent_at_;
  bool first_event_seen_ = false;
  bool attempt_streams_ = false;
  ResponseInfo facts_;

  UpstreamId last_upstream_;  // Of the last attempt; for the log.
  std::vector<UpstreamId> tried_;
  uint32_t sends_ = 0;
  uint32_t upstreams_run_ = 0;
  uint32_t misses_ = 0;    // Engines that did not hold the adapter.
  bool suspect_ = false;   // A connection broke under it.
  UpstreamId suspect_at_;  // Where it counts as one.
  bool may_have_run_ = false;
  bool answer_begun_ = false;
  Millis first_event_after_;  // From arrival; zero: none yet.
  Millis last_event_at_;
  Millis longest_pause_;  // Between two events, up to now.
  EventSplitter events_;
  bool finished_ = false;
};

}  // namespace bilberrypitch
