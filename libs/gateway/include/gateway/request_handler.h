// Handles one request of a caller, from its arrival to the end of its response.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "gateway/relay_target.h"
#include "serving/attempt_policy.h"
#include "serving/event_splitter.h"
#include "serving/ownership.h"
#include "serving/part_crash_tracker.h"
#include "serving/permit_issuer.h"
#include "serving/rate_limiter.h"
#include "serving/request.h"
#include "serving/response_fault.h"
#include "serving/stream_origins.h"
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

// Callbacks into the other parts of the instance. All of them have to be set.
struct RequestHooks {
  // Asks the owner of the engine to load the adapter in `version` or later.
  // `reserve_slot`: the adapter gets the next slot that becomes free.
  std::function<void(const UpstreamId&, const ModelRef&, int64_t version,
                     bool reserve_slot)>
      request_load;
  // The request starts (+1) or stops (-1) waiting for the adapter on the
  // engine.
  std::function<void(const UpstreamId&, const ModelRef&, int change)>
      adapter_wait_changed;
  // The engine rejected the request because it does not hold the adapter.
  std::function<void(const UpstreamId&, const ModelRef&)> adapter_missing;
  // An attempt that uses the adapter started (+1) or ended (-1) on the engine.
  std::function<void(const UpstreamId&, const ModelRef&, int change)>
      adapter_use_changed;
  // The connection broke during an attempt, so the upstream that was started at
  // `started_ms` may have crashed.
  std::function<void(uint64_t fingerprint, const UpstreamId&,
                     int64_t started_ms)>
      connection_broken;
  // The connection broke before the response had begun.
  std::function<void(const PartCrash& suspicion)> broken_before_response;
  // A response to a request with these shared prompt parts has begun.
  std::function<void(const std::vector<PartId>& parts)> response_begun;
  // No connection to the upstream could be established.
  std::function<void(const UpstreamId&)> upstream_unreachable;
  // Asks the owner of the engine for permission to send it a prompt. Returns
  // the number of the prefill request, or 0 if the engine has no owner.
  // `on_granted` is not called before the return.
  std::function<uint64_t(const UpstreamId&, const ModelRef&, int64_t tokens,
                         int priority, std::function<void()> on_granted)>
      request_prefill;
  // Sends the prefill request again, so that it keeps its position in the
  // queue.
  std::function<void(uint64_t request_number)> renew_prefill_request;
  // Whether the owner has responded since the request was last sent.
  std::function<bool(uint64_t request_number)> prefill_owner_responded;
  // Ends the prefill request. `prefilled`: the engine has processed the prompt.
  std::function<void(uint64_t request_number, bool prefilled)> release_prefill;
  // Asks for a permit to send to an upstream with a rate limit. `done` may be
  // called before the return.
  std::function<void(const UpstreamId&, double rate_per_s, Millis max_wait,
                     std::function<void(Permit)> done)>
      acquire_permit;
  // A response of the upstream to a call that was sent at `sent_at` states that
  // it leaves.
  std::function<void(const UpstreamId&, Millis sent_at)> upstream_leaves;
  // A permit that the first issuer has granted is not used.
  std::function<void(const UpstreamId&)> return_permit;
  // A response of the upstream states another rate limit, or none any more.
  std::function<void(const UpstreamId&, std::optional<double> limit)>
      rate_limit_changed;
  // Whether this instance has lost its path to all upstreams.
  std::function<bool()> path_is_lost;
  // Another instance that has a path and is not in `excluded`.
  std::function<std::optional<ClusterMember>(
      uint64_t hash, const std::set<MachineId>& excluded)>
      choose_relay;
  // What attempts tell of the path; see PathMonitor.
  std::function<void()> upstream_reached;
  std::function<void(const UpstreamId&)> upstream_unreached;
  std::function<void()> attempt_started;
  std::function<void()> attempt_ended;
  std::function<void()> bytes_received;
  // Whether a stream that callers can take up may begin at this version.
  std::function<bool(const ServiceId&, const SoftwareVersion&)>
      may_begin_stream;
  // Such a stream, which began as the response to the request `began_as`, has
  // its first event from this upstream, or goes on there.
  std::function<void(const RequestId& began_as, const StreamOrigin&)>
      stream_running;
  // Whether the upstream still has the start that its entry states, as it says
  // itself. Calls `done`, perhaps before the return, with true if it can't be
  // asked because it is no engine.
  std::function<void(const UpstreamId&, int64_t started_ms,
                     std::function<void(bool)> done)>
      confirm_start;
  // Finds where the stream began that the caller takes up. `done` may be called
  // before the return.
  std::function<void(const RequestId& began_as, const ServiceId&,
                     std::function<void(const StreamFinding&)> done)>
      find_stream;
  // A response of the upstream states that it bears another number of
  // rejections, or any number.
  std::function<void(const UpstreamId&, std::optional<double> per_s)>
      brittleness_changed;
  // The upstream's capacity estimate has a new sample.
  std::function<void(const UpstreamId&)> capacity_sampled;
  // The request has ended. Called from within its handler.
  std::function<void(uint64_t connection_id)> request_ended;
  // Acquires tokens of the workspace's rate. `done` may be called before the
  // return.
  std::function<void(const WorkspaceId&, double cost,
                     std::function<void(RateDecision)> done)>
      acquire_rate_tokens;
};

// The dependencies of a request handler. They outlive it.
struct RequestDeps {
  EventLoop* loop = nullptr;
  EventLoopHttpClient* client = nullptr;
  const ApiCodec* codec = nullptr;
  ServingState* state = nullptr;
  CallerApi api = CallerApi::kPlatform;
  RequestHooks hooks;
};

// Admits a request, selects upstreams for it, retries where that is safe, and
// forwards the response.
//
// The handler keeps itself alive until the request has ended. Must be used on
// the event loop's thread only.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
 public:
  // `connection_id` identifies the caller's connection. `arrived_at` is earlier
  // than now if the request had to wait for another one of its connection.
  // `relayed`: set if another instance relays the request.
  RequestHandler(const RequestDeps* deps, ServingRequest request,
                 std::shared_ptr<Responder> responder, uint64_t connection_id,
                 Millis arrived_at,
                 const std::optional<RelayedTarget>& relayed);

  void Start();
  // The caller closed its connection: cancels the request.
  void OnCallerDisconnected();
  // The adapter is ready on an engine where this request may wait for it.
  void OnAdapterReady(const UpstreamId& engine, const ModelRef& target);
  // The engine is loading the adapter for this request.
  void OnAdapterLoading(const UpstreamId& engine, const ModelRef& target);
  // The engine has no free slot for the adapter.
  void OnEngineFull(const UpstreamId& engine, const ModelRef& target);
  // Ends the request if it waits to be sent and the instance stops before it
  // could be served. Returns whether the request was ended.
  bool EndIfTooLateToSend();
  // This instance has lost its path to all upstreams.
  void OnPathLost();
  // Zones have been evacuated: if the request waits for an upstream there, it
  // chooses again.
  void OnUpstreamsUnavailable();
  // The process is about to exit: ends the request with an error.
  void OnShutdown();
  bool finished() const { return finished_; }

 private:
  static constexpr int kMisdirectedRequestStatus = 421;
  // For callers whose request was rejected without a better estimate.
  static constexpr Millis kRejectionRetryAfter{400};

  // What an attempt that has ended tells of its upstream.
  enum class AttemptEnd {
    kCompleted,
    kFailed,
    kNotRun,   // Not sent, or rejected.
    kAborted,  // By the caller, the deadline or a stop.
  };

  bool Admit();
  bool AdmitCaller();
  bool RejectIfQuarantined();
  bool RejectIfPartQuarantined();
  // Rejects a request whose prompt no engine of the service can hold. Returns
  // whether it did.
  bool RejectIfTooLarge();
  void AdmitRate();
  void OnRateDecision(const RateDecision& decision);
  bool Revalidate();
  void Dispatch();
  // Whether the caller asks for the rest of a stream.
  bool IsTakeUp() const;
  // The id of the request that brought the stream's first event.
  const RequestId& StreamId() const;
  // Looks for the stream's origin and goes on, or rejects the request.
  void FindOrigin();
  void OnOrigin(const StreamFinding& finding);
  // Picks the service, for a stream that goes on the one at which it began.
  // Ends the request and returns false if the route no longer leads there.
  bool ChooseService();
  // Whether the stream may begin, or go on, at the upstream's version.
  bool MayStreamFrom(const UpstreamState& upstream) const;
  // Leaves out the upstreams at which the stream may not go on.
  std::vector<UpstreamState*> UsableUpstreams(Millis now) const;
  // Rejects a take-up that no upstream could serve. Returns whether it did.
  bool RejectIfVersionGone();
  // Rejects a request that only upstreams of evacuated zones could serve.
  // Returns whether it did.
  bool RejectIfEvacuated();
  // Rejects a request whose service has only upstreams that leave. Returns
  // whether it did.
  bool RejectIfAllLeave();
  bool TakesNoRequests(const UpstreamId& upstream) const;
  // Ends what the request waits for at upstreams that take no new requests.
  // Returns whether there was any.
  bool EndUnavailableWaits();
  void RecordOrigin();
  // Looks for the origin of a stream, charges the rate and goes on.
  void Proceed();
  // Lets another instance handle the request, or rejects it, if this one has
  // lost its path to upstreams and has not sent it. Returns whether it did.
  bool RelayIfPathLost();
  void Relay(const ClusterMember& to);
  bool OnRelayHeaders(const ResponseStart& start);
  bool OnRelayData(std::string_view bytes);
  void OnRelayDone(CallOutcome outcome);
  // Goes on with StartAttempt once the upstream has confirmed its start.
  void ConfirmStart(const UpstreamState& upstream);
  void OnStartConfirmed(const UpstreamId& id, int64_t started_ms, bool is_same);
  void SendWhenPrefillGranted(UpstreamState* upstream);
  void EndAdapterWaits();
  bool ShouldReserveSlot() const;
  Millis EventTimeout() const;
  bool IsWaitingFor(const UpstreamId& engine, const ModelRef& target) const;
  void RequestPrefill(const UpstreamId& engine);
  void OnPrefillGranted();
  void OnPrefillWaitElapsed();
  void ReleasePrefill(bool prefilled);
  int Priority() const;
  void WaitForAdapter(const UpstreamChoice& choice);
  void StartAttempt(UpstreamState* upstream);
  HttpCall MakeCall(const UpstreamState& upstream) const;
  bool OnHeaders(const ResponseStart& start);
  bool OnData(std::string_view bytes);
  void ForwardEvents(std::string events);
  // True also for upstreams without a rate limit.
  bool HasPermit(const UpstreamState& upstream) const;
  // Goes on when the permit is granted or denied.
  void AskForPermit(const UpstreamState& upstream);
  void OnPermit(const UpstreamId& id, const Permit& permit);
  void RejectForRateLimit(Millis retry_after);
  void KeepAdapter(const UpstreamId& engine);
  void ReturnPermit();
  // Rejects the request if each upstream that could take it has turned it away
  // because it is full. Returns whether it did.
  bool RejectIfAllFull(const std::vector<UpstreamState*>& usable);
  // Whether the upstream, which has rejected the request with 503, is full.
  bool WasFull(const UpstreamState& upstream) const;
  // Whether the service has no models. The latencies of its requests can be
  // compared with each other.
  bool IsPlainService() const;
  // Applies that the upstream leaves, if the response says so.
  void OnLeaving(int status);
  // Applies the rejections that the upstream bears by its response, if it says.
  void OnBrittle(UpstreamState* upstream);
  // Applies the rate limit that the response states, or that it states none.
  void OnRateLimit(UpstreamState* upstream);
  // The response proves the shared parts of the prompt sound.
  void ReportBegun();
  // Whether the stream of the attempt, which has ended, is not broken off.
  bool StreamEndsWhole() const;
  void PauseCall();
  bool HasTooManyEvents() const;
  void OnCallDone(CallOutcome outcome);
  AttemptOutcome ClassifyOutcome(const CallOutcome& outcome) const;
  ResponseFault FaultOfHead(const ResponseStart& start) const;
  // Of a complete response that isn't a stream.
  ResponseFault FaultOfBody(const CallOutcome& outcome) const;
  // Lets what has arrived speak against kept connections to the upstream.
  void UpdateConnectionTrust(const CallOutcome& outcome);
  // Sets `response_fault_` to what the end of the call shows.
  void RecordFault(AttemptOutcome end, const CallOutcome& outcome);
  void OnCompleteResponse(CallOutcome outcome, bool failed);
  void HandleFailedAttempt(AttemptOutcome end, CallOutcome* outcome);
  void EndAttempt(AttemptEnd end);
  void OnDeadline();
  void Abort(ErrorKind kind_if_sent, ErrorKind kind_if_not_sent,
             std::string detail);
  void Reject(ErrorKind kind, std::string detail, Millis retry_after);
  // Rejects a request that the configuration does not allow. While a newer one
  // may allow it, the caller is told to come back.
  void RejectByConfig(ErrorKind kind, std::string detail);
  void Fail(const Error& error);
  void Respond(HttpResponse response);
  void RecordLatencies(std::string_view outcome);
  void Finish(const char* outcome, int status);
  Millis TimeLeft() const;
  bool IsStream() const;
  int64_t PromptTokens() const;

  const RequestDeps* const deps_;
  ServingState* const state_;
  const ServingRequest request_;
  std::shared_ptr<Responder> responder_;
  const uint64_t connection_id_;
  const Millis arrived_at_;

  // The configuration that the request was routed with.
  std::shared_ptr<const ActiveConfig> config_;
  // Parts of a configuration, which they share the ownership of: they stay
  // valid when a newer one has replaced `config_`.
  std::shared_ptr<const Route> route_;
  std::shared_ptr<const Workspace> workspace_;  // Null: no key is required.
  ServiceId service_;
  uint64_t fingerprint_ = 0;
  const std::vector<PartId> shared_parts_;  // Of the prompt.
  const uint64_t choice_seed_;  // Differs between requests and instances.
  bool is_probe_ = false;       // May be sent although a part is quarantined.
  double rate_cost_ = 0;
  Millis deadline_;
  Timer deadline_timer_;
  Timer wait_timer_;

  // The upstream for which the request has a permit; empty: none.
  UpstreamId permit_upstream_;
  bool permit_returnable_ = false;
  Millis permit_turn_at_;  // Not to be used before.
  // Nor after; zero: it is no permit for a cold upstream.
  Millis permit_use_by_;
  bool permit_pending_ = false;  // It was asked for.
  UpstreamId permit_asked_at_;   // For which it was asked for last.
  uint32_t permit_denials_ = 0;
  // How much more another upstream costs than the chosen one.
  Millis choice_margin_;

  uint64_t prefill_request_number_ = 0;  // 0: no prefill request is open.
  UpstreamId prefill_engine_;
  // The engine that was last asked to load the adapter or that is loading it;
  // empty: the request is not waiting for an adapter.
  UpstreamId load_engine_;
  std::set<UpstreamId> load_requested_at_;  // Engines that may be loading it.
  Millis adapter_wait_started_at_;
  uint32_t load_requests_ = 0;  // Load requests sent, repeated ones included.

  // The current attempt.
  CallId call_id_ = 0;  // 0: none.
  UpstreamId upstream_;
  int64_t upstream_started_ms_ = 0;
  SoftwareVersion upstream_software_;
  Millis sent_at_;
  bool latency_counts_ = false;  // In the upstream's capacity estimate.
  bool first_event_seen_ = false;
  bool response_is_stream_ = false;
  BodyFraming framing_ = BodyFraming::kUntilClose;
  bool reused_connection_ = false;  // Earlier calls used its connection.
  ResponseInfo response_info_;
  // It names this request, or none on a connection without an earlier call.
  bool response_matches_ = false;
  // Why the response is not passed on, as far as it has arrived.
  ResponseFault response_fault_ = ResponseFault::kNone;

  UpstreamId last_upstream_;  // Upstream of the last attempt, for the log.
  // Upstreams that failed or rejected the request, adapter misses excluded.
  std::vector<UpstreamId> tried_upstreams_;
  // Plain upstreams that turned the request away because they are full.
  std::set<UpstreamId> full_upstreams_;
  // Connections to these may still carry a response to an earlier attempt.
  std::set<std::string> sent_to_addresses_;
  uint32_t attempts_ = 0;
  uint32_t upstreams_maybe_run_ = 0;
  uint32_t adapter_misses_ = 0;  // Engines that did not hold the adapter.
  // Of the stream that goes on; empty: none began yet.
  std::optional<StreamFinding> origin_;
  // The upstream's start that it has confirmed; empty: none.
  UpstreamId confirmed_upstream_;
  int64_t confirmed_started_ms_ = 0;
  std::set<UpstreamId> unconfirmed_upstreams_;  // They did not.
  // Another instance relays the request; it is not relayed again.
  const bool is_relayed_;
  bool rate_is_charged_;  // The workspace's rate, here or there.
  // It has a stream's origin and its rate, and waits for an upstream.
  bool is_dispatched_ = false;
  MachineId relay_;  // To which it was relayed last; empty: none.
  std::set<MachineId> relays_tried_;
  std::string relay_body_;  // Of a response that is no stream.
  // A connection broke while the request was running.
  bool is_suspect_ = false;
  UpstreamId suspect_upstream_;  // Upstream that counts it as a suspect.
  bool may_have_run_ = false;
  bool response_started_ = false;
  Millis first_event_latency_;  // Since arrival; zero: no event yet.
  Millis last_event_at_;
  Millis max_event_gap_;  // Longest time between two events so far.
  EventSplitter event_splitter_;
  bool finished_ = false;
};

}  // namespace bilberrypitch
