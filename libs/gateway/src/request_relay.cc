// A request that this instance can't send to any upstream is handled by another
// instance, whose response is passed on as it comes.
#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/relay_target.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr Millis kRelayConnectTimeout{350};
constexpr size_t kMaxRelays = 3;  // That are tried for a request.
constexpr size_t kMaxPlainBytes = 8 << 20;
constexpr Millis kNoPathRetryAfter{1000};
// As for the stream of an upstream.
constexpr size_t kMaxUnwrittenBytes = 16 << 10;

}  // namespace

// A request that waits for an answer about its stream or its rate goes on
// first.
void RequestHandler::OnPathLost() {
  if (is_dispatched_) {
    RelayIfPathLost();
  }
}

bool RequestHandler::RelayIfPathLost() {
  if (finished_ || may_have_run_ || response_started_ || call_id_ != 0 ||
      !deps_->hooks.path_is_lost()) {
    return false;
  }
  std::optional<ClusterMember> relay;
  if (!is_relayed_ && relays_tried_.size() < kMaxRelays) {
    relay =
        deps_->hooks.choose_relay(StableHash(request_.id.str()), relays_tried_);
  }
  if (!relay) {
    ++state_->counters.refused_without_path;
    Reject(ErrorKind::kUpstreamUnavailable,
           "This instance reaches no upstream, nor an instance that does.",
           kNoPathRetryAfter);
    return true;
  }
  Relay(*relay);
  return true;
}

void RequestHandler::Relay(const ClusterMember& to) {
  ReleasePrefill(false);
  ReturnPermit();
  EndAdapterWaits();
  wait_timer_.Cancel();
  relays_tried_.insert(to.machine);
  relay_ = to.machine;
  ++state_->counters.relayed;
  HttpCall call;
  deps_->codec->EncodeForPeer(request_, TimeLeft(), &call);
  call.address = to.address;
  call.target = RelayTarget(deps_->api, rate_is_charged_, request_.target);
  call.send_once = true;
  call.timeouts.connect = kRelayConnectTimeout;
  call.timeouts.first_byte = TimeLeft();
  call.timeouts.idle = TimeLeft();
  call.timeouts.total = TimeLeft();
  auto self = shared_from_this();
  call.on_headers = [self](const ResponseStart& start) {
    return self->OnRelayHeaders(start);
  };
  call.on_data = [self](std::string_view bytes) {
    return self->OnRelayData(bytes);
  };
  call.on_done = [self](CallOutcome outcome) {
    self->OnRelayDone(std::move(outcome));
  };
  call_id_ = deps_->client->Start(std::move(call));
}

bool RequestHandler::OnRelayHeaders(const ResponseStart& start) {
  relay_body_.clear();
  framing_ = start.framing;
  // The other instance sends chunks only for a stream that has begun.
  if (start.framing == BodyFraming::kChunked) {
    response_started_ = true;
    responder_->StartStream(start.status, EndToEndHeaders(start.headers, {}));
  }
  return true;
}

bool RequestHandler::OnRelayData(std::string_view bytes) {
  if (finished_) {
    return true;
  }
  if (!response_started_) {
    relay_body_ += bytes;
    deps_->client->SetBytesKept(call_id_, relay_body_.capacity());
    return relay_body_.size() <= kMaxPlainBytes;
  }
  if (first_event_latency_ == Millis(0)) {
    first_event_latency_ = EventLoop::Now() - arrived_at_;
  }
  responder_->Write(std::string(bytes));
  if (responder_->unwritten_bytes() > kMaxUnwrittenBytes) {
    PauseCall();
  }
  return true;
}

void RequestHandler::OnRelayDone(CallOutcome outcome) {
  call_id_ = 0;
  if (finished_) {
    return;
  }
  LogInfo("request", "Relayed id={} machine={} result={} status={} ms={}.",
          request_.id.str(), relay_.str(), static_cast<int>(outcome.result),
          outcome.status, (EventLoop::Now() - arrived_at_).count());
  if (DefinitelyNotSent(outcome.result)) {
    // To another instance, or to an upstream if the path is back.
    if (is_dispatched_) {
      Dispatch();
    } else if (!RelayIfPathLost()) {
      Proceed();
    }
    return;
  }
  if (outcome.result != CallResult::kComplete) {
    may_have_run_ = true;
    Fail({ErrorKind::kOutcomeUnknown, "The relaying instance failed.",
          NotRun::kUnknown});
    return;
  }
  ++state_->counters.answered;
  if (response_started_) {
    responder_->EndStream();
    Finish("relayed", outcome.status);
    return;
  }
  HttpResponse response;
  response.status = outcome.status;
  response.headers = EndToEndHeaders(outcome.headers, {});
  response.body =
      relay_body_.empty() ? std::move(outcome.body) : std::move(relay_body_);
  Respond(std::move(response));
  Finish("relayed", outcome.status);
}

}  // namespace bilberrypitch
