// Judges what an upstream sent in response to an attempt.
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "serving/embedded_response.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// Events beyond the tokens that a request may produce, such as a last one.
constexpr uint64_t kMaxExtraEvents = 100;

}  // namespace

ResponseFault RequestHandler::FaultOfHead(const ResponseStart& start) const {
  if (response_info_.names_other_request) {
    return ResponseFault::kOtherRequest;
  }
  if (!response_info_.names_request && start.reused_connection) {
    return ResponseFault::kNamesNone;
  }
  // Nothing of a rejection is passed on.
  if (response_info_.not_run) {
    return start.status < 300 ? ResponseFault::kContradiction
                              : ResponseFault::kNone;
  }
  if (response_info_.has_encoded_body) {
    return ResponseFault::kEncodedBody;
  }
  return response_info_.has_signature ? ResponseFault::kNone
                                      : ResponseFault::kUnsigned;
}

// Each event of a response to a request with token counts holds a token.
bool RequestHandler::HasTooManyEvents() const {
  if (!request_.has_token_counts) {
    return false;
  }
  auto most =
      static_cast<uint64_t>(request_.max_output_tokens) + kMaxExtraEvents;
  return event_splitter_.events() > most;
}

AttemptOutcome RequestHandler::ClassifyOutcome(
    const CallOutcome& outcome) const {
  switch (outcome.result) {
    case CallResult::kConnectFailed:
    case CallResult::kConnectTimeout:
      return AttemptOutcome::kNotSent;
    case CallResult::kComplete:
      break;
    case CallResult::kStalled:
      return TimeLeft() <= Millis(1) ? AttemptOutcome::kDeadlineExceeded
                                     : AttemptOutcome::kNoResponse;
    case CallResult::kTotalTimeout:
      return AttemptOutcome::kDeadlineExceeded;
    case CallResult::kCancelled:
    case CallResult::kResponseTooLarge:
    case CallResult::kMalformedResponse:
      return AttemptOutcome::kInvalidResponse;
    case CallResult::kConnectionBroken:
      return AttemptOutcome::kConnectionBroken;
  }
  if (!response_matches_) {
    return AttemptOutcome::kInvalidResponse;
  }
  if (response_info_.not_run) {
    return AttemptOutcome::kRejectedNotRun;
  }
  if (response_fault_ != ResponseFault::kNone) {
    return AttemptOutcome::kInvalidResponse;
  }
  return AttemptOutcome::kErrorResponse;
}

// A response without a length and chunks ends with its connection, which may
// also close because the upstream has crashed.
bool RequestHandler::StreamEndsWhole() const {
  return event_splitter_.AtBoundary() &&
         (first_event_seen_ || framing_ != BodyFraming::kUntilClose);
}

ResponseFault RequestHandler::FaultOfBody(const CallOutcome& outcome) const {
  if (outcome.result != CallResult::kComplete || response_is_stream_) {
    return ResponseFault::kNone;
  }
  // In chunks on a new connection, a body may quote a response.
  bool may_hold_another =
      framing_ == BodyFraming::kUntilClose ||
      (framing_ == BodyFraming::kChunked && reused_connection_);
  if (may_hold_another && ContainsResponseHead(outcome.body)) {
    return ResponseFault::kEmbeddedResponse;
  }
  if (!reused_connection_) {
    return ResponseFault::kNone;
  }
  if (framing_ == BodyFraming::kUntilClose) {
    return ResponseFault::kUnboundedBody;
  }
  return outcome.trailing == TrailingBytes::kUnknown
             ? ResponseFault::kSurplusBytes
             : ResponseFault::kNone;
}

void RequestHandler::UpdateConnectionTrust(const CallOutcome& outcome) {
  UpstreamState* upstream = state_->upstreams.Find(upstream_);
  if (upstream == nullptr ||
      upstream->entry.started_ms != upstream_started_ms_) {
    return;
  }
  bool wrote_more = outcome.result == CallResult::kMalformedResponse ||
                    outcome.trailing != TrailingBytes::kNone ||
                    SpeaksAgainstReuse(response_fault_);
  if (wrote_more) {
    upstream->connection_trust.OnSign(EventLoop::Now());
  }
  if (response_is_stream_) {
    upstream->events_in_sequence = !event_splitter_.irregular();
  } else if (outcome.result == CallResult::kComplete &&
             response_info_.has_signature) {
    upstream->plain_bodies_are_framed = framing_ != BodyFraming::kUntilClose;
  }
}

void RequestHandler::RecordFault(AttemptOutcome end,
                                 const CallOutcome& outcome) {
  if (end != AttemptOutcome::kInvalidResponse) {
    response_fault_ = ResponseFault::kNone;
    return;
  }
  if (outcome.result == CallResult::kMalformedResponse) {
    response_fault_ = ResponseFault::kMalformed;
  } else if (outcome.result == CallResult::kResponseTooLarge) {
    response_fault_ = ResponseFault::kTooLarge;
  }
  ++state_->counters.response_faults[static_cast<size_t>(response_fault_)];
}

}  // namespace bilberrypitch
