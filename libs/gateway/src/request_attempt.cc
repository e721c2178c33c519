// Attempts of a request at upstreams, up to their end, which is in
// request_attempt_end.cc. What upstreams sent is judged in request_response.cc.
#include <algorithm>

#include "base/log.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr Millis kConnectTimeout{350};
// The timeout given to the upstream ends this long before the caller's
// deadline.
constexpr Millis kDeadlineMargin{10};
// One step of a workspace's priority counts as much as this many of a route's.
constexpr int kWorkspacePriorityWeight = 3;
constexpr int kLowestPriority = 9;
// A healthy plain service responds within this multiple of the route's latency
// target. An idempotent request without a stream that may still be retried on
// another upstream waits no longer than this for the first byte.
constexpr int64_t kFirstByteTimeoutFactor = 3;
constexpr Millis kMinFirstByteTimeout{400};

// The stream of an upstream is not read further while the caller has yet to
// take more than this.
constexpr size_t kMaxUnwrittenBytes = 16 << 10;

}  // namespace

int RequestHandler::Priority() const {
  int priority = route_->priority;
  if (workspace_ != nullptr && workspace_->priority) {
    priority += *workspace_->priority * kWorkspacePriorityWeight;
  }
  return std::clamp(priority, 0, kLowestPriority);
}

HttpCall RequestHandler::MakeCall(const UpstreamState& upstream) const {
  HttpCall call;
  call.address = upstream.entry.address;
  call.timeouts.connect = kConnectTimeout;
  Millis left = TimeLeft();
  call.timeouts.total = left;
  call.timeouts.first_byte = left;
  call.timeouts.idle = left;
  bool may_retry = route_->IsIdempotent() &&
                   upstreams_maybe_run_ + 1 < route_->max_upstreams;
  if (may_retry && !IsStream()) {
    call.timeouts.first_byte = std::min(
        left, std::max(kMinFirstByteTimeout,
                       route_->latency_target * kFirstByteTimeoutFactor));
  }
  call.send_once = !route_->IsIdempotent();
  // A late copy of the response to an earlier attempt names the same request
  // id, so it is told apart only by its connection.
  // Where the upstream's answers of the kind can't be told from a piece of
  // another response, nothing else may arrive on the connection either.
  bool can_be_told = IsStream()
                         ? upstream.events_in_sequence.value_or(false)
                         : upstream.plain_bodies_are_framed.value_or(false);
  call.new_connection =
      !can_be_told || sent_to_addresses_.count(call.address) > 0;
  call.dedicated_connection =
      !upstream.connection_trust.MayReuseConnections(EventLoop::Now());
  // A second less than the upstream's timeout, so that no request is sent on a
  // connection that the upstream is closing.
  call.max_connection_idle_s = std::max(1, upstream.idle_timeout_s - 1);
  if (upstream.idle_timeout_s == 0) {
    call.max_connection_idle_s = 0;
  }
  return call;
}

void RequestHandler::StartAttempt(UpstreamState* upstream) {
  bool lacks_permit = upstream->IsCold() && !HasPermit(*upstream);
  if (!MayStreamFrom(*upstream) || !upstream->IsUsable(EventLoop::Now()) ||
      lacks_permit || !upstream->HasRoomIfBrittle(EventLoop::Now())) {
    Dispatch();  // It has changed since it was chosen.
    return;
  }
  bool is_confirmed = confirmed_upstream_ == upstream->entry.id &&
                      confirmed_started_ms_ == upstream->entry.started_ms;
  if (origin_ && !is_confirmed) {
    ConfirmStart(*upstream);
    return;
  }
  confirmed_upstream_ = UpstreamId();
  Millis now = EventLoop::Now();
  if (permit_upstream_ == upstream->entry.id) {
    permit_upstream_ = UpstreamId();  // Used by this attempt.
  }
  ReturnPermit();
  HttpCall call = MakeCall(*upstream);
  sent_to_addresses_.insert(call.address);
  UpstreamCallOptions options;
  options.upstream = upstream->entry.id;
  if (workspace_ != nullptr) {
    options.workspace = workspace_->id;
  }
  options.time_left = std::max(Millis(1), TimeLeft() - kDeadlineMargin);
  const Service* service = config_->FindService(service_);
  if (service != nullptr && service->engine) {
    options.priority = Priority();
    auto required_version = state_->required_versions.find(request_.model);
    if (required_version != state_->required_versions.end()) {
      options.minimum_version = required_version->second;
    }
  }
  // The rest of an event that the attempt before began will never arrive.
  event_splitter_.DropPartial();
  if (response_started_) {
    options.resume_after_event = event_splitter_.last_id();
  }
  deps_->codec->EncodeCall(request_, options, &call);
  upstream_ = upstream->entry.id;
  last_upstream_ = upstream_;
  upstream_started_ms_ = upstream->entry.started_ms;
  upstream_software_ = upstream->entry.software;
  sent_at_ = now;
  first_event_seen_ = false;
  response_is_stream_ = false;
  framing_ = BodyFraming::kUntilClose;
  reused_connection_ = false;
  response_info_ = ResponseInfo();
  response_matches_ = false;
  response_fault_ = ResponseFault::kNone;
  if (attempts_ > 0) {
    ++state_->counters.retries;
  }
  ++attempts_;
  state_->upstreams.OnAttemptStarted(upstream, PromptTokens());
  latency_counts_ = IsPlainService() && !IsStream();
  if (latency_counts_) {
    upstream->capacity.OnAttemptBegun(now);
  }
  if (request_.model.is_adapter()) {
    deps_->hooks.adapter_use_changed(upstream_, request_.model, 1);
  }
  EndAdapterWaits();
  auto self = shared_from_this();
  call.on_headers = [self](const ResponseStart& start) {
    return self->OnHeaders(start);
  };
  if (IsStream()) {
    call.on_data = [self](std::string_view bytes) {
      return self->OnData(bytes);
    };
  }
  call.on_done = [self](CallOutcome outcome) {
    self->OnCallDone(std::move(outcome));
  };
  deps_->hooks.attempt_started();
  call_id_ = deps_->client->Start(std::move(call));
}

bool RequestHandler::OnHeaders(const ResponseStart& start) {
  if (start.reused_connection) {
    deps_->hooks.bytes_received();
  } else {
    deps_->hooks.upstream_reached();
  }
  response_info_ =
      deps_->codec->DecodeResponse(request_, start.status, start.headers);
  response_fault_ = FaultOfHead(start);
  response_matches_ = response_fault_ == ResponseFault::kNone ||
                      response_fault_ == ResponseFault::kUnsigned;
  if (!response_matches_) {
    return false;
  }
  OnLeaving(start.status);
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  if (upstream != nullptr) {
    if (response_info_.load) {
      state_->upstreams.OnLoadReport(upstream, *response_info_.load,
                                     EventLoop::Now());
      deps_->hooks.capacity_sampled(upstream_);
    }
    OnRateLimit(upstream);
    OnBrittle(upstream);
    if (response_info_.idle_timeout_s > 0) {
      upstream->idle_timeout_s = response_info_.idle_timeout_s;
    }
  }
  reused_connection_ = start.reused_connection;
  event_splitter_.set_rule(reused_connection_ ? EventRule::kSuccessors
                                              : EventRule::kIncreasing);
  framing_ = start.framing;
  response_is_stream_ =
      IsStream() && start.status < 300 && response_info_.has_signature;
  return start.status >= 300 || response_info_.has_signature;
}

// A misdirected request was rejected by another upstream, which now has the
// address.
void RequestHandler::OnLeaving(int status) {
  if (response_info_.states_leaving && status != kMisdirectedRequestStatus) {
    deps_->hooks.upstream_leaves(upstream_, sent_at_);
  }
}

void RequestHandler::OnBrittle(UpstreamState* upstream) {
  const std::optional<double>& limit = response_info_.bearable_rejections_per_s;
  if (state_->upstreams.OnBrittle(upstream, limit, sent_at_,
                                  EventLoop::Now())) {
    deps_->hooks.brittleness_changed(upstream_, limit);
  }
}

void RequestHandler::OnRateLimit(UpstreamState* upstream) {
  const std::optional<double>& limit = response_info_.rate_limit_per_s;
  if (state_->upstreams.OnRateLimit(upstream, limit, sent_at_,
                                    EventLoop::Now())) {
    deps_->hooks.rate_limit_changed(upstream_, limit);
  }
}

// Returns false to cancel the call.
bool RequestHandler::OnData(std::string_view bytes) {
  deps_->hooks.bytes_received();
  if (finished_ || !response_is_stream_) {
    return true;
  }
  std::string events = event_splitter_.Feed(bytes);
  deps_->client->SetBytesKept(call_id_, event_splitter_.bytes_kept());
  if (!events.empty()) {
    ForwardEvents(std::move(events));
  }
  if (responder_->unwritten_bytes() > kMaxUnwrittenBytes) {
    PauseCall();
  }
  if (event_splitter_.malformed()) {
    response_fault_ = reused_connection_ ? ResponseFault::kDoubtfulEvent
                                         : ResponseFault::kMalformedEvents;
  } else if (HasTooManyEvents()) {
    response_fault_ = ResponseFault::kTooManyEvents;
  }
  return response_fault_ == ResponseFault::kNone;
}

// Lets the loop write to the caller, and serve others, before the upstream is
// read further.
void RequestHandler::PauseCall() {
  deps_->client->Pause(call_id_);
  responder_->OnceWritten([deps = deps_, call = call_id_] {
    // Not within a callback of the client.
    deps->loop->Post([deps, call] { deps->client->Resume(call); });
  });
}

void RequestHandler::ForwardEvents(std::string events) {
  Millis now = EventLoop::Now();
  if (response_started_) {
    max_event_gap_ = std::max(max_event_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  if (!first_event_seen_) {
    first_event_seen_ = true;
    ReleasePrefill(true);
    RecordOrigin();
    ReportBegun();
    UpstreamState* upstream = state_->upstreams.Find(upstream_);
    if (upstream != nullptr) {
      state_->upstreams.OnFirstEvent(upstream, PromptTokens(), now - sent_at_,
                                     now);
    }
  }
  if (!response_started_) {
    response_started_ = true;
    first_event_latency_ = now - arrived_at_;
    responder_->StartStream(200, response_info_.forward);
  }
  responder_->Write(std::move(events));
}

void RequestHandler::ReportBegun() {
  if (!shared_parts_.empty()) {
    deps_->hooks.response_begun(shared_parts_);
  }
}

}  // namespace bilberrypitch
