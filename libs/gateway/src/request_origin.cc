// Streams go on only at the version of an upstream's software that began them.
#include <algorithm>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// An upstream of the version may come back.
constexpr Millis kVersionGoneRetryAfter{1000};

}  // namespace

bool RequestHandler::IsTakeUp() const {
  return route_->resumable && !request_.last_event_id.empty();
}

const RequestId& RequestHandler::StreamId() const {
  return IsTakeUp() ? request_.resumed_request : request_.id;
}

void RequestHandler::FindOrigin() {
  auto self = shared_from_this();
  deps_->hooks.find_stream(
      StreamId(), service_,
      [self](const StreamFinding& finding) { self->OnOrigin(finding); });
}

void RequestHandler::OnOrigin(const StreamFinding& finding) {
  if (finished_) {
    return;
  }
  if (finding.software.empty()) {
    ++state_->counters.take_ups_refused;
    Reject(ErrorKind::kStreamNotResumable,
           "At which version the stream began is not known here.", Millis(0));
    return;
  }
  origin_ = finding;
  if (!ChooseService() || RejectIfEvacuated() || RejectIfAllLeave() ||
      RejectIfVersionGone()) {
    return;
  }
  AdmitRate();
}

bool RequestHandler::ChooseService() {
  // The hash of a stream stays the same for the caller's next tries.
  const RequestId& id = StreamId().empty() ? request_.id : StreamId();
  service_ = PickService(*route_, StableHash(id.str()));
  if (!origin_ || origin_->service == service_) {
    return true;
  }
  bool leads_there =
      std::any_of(route_->services.begin(), route_->services.end(),
                  [&](const WeightedService& part) {
                    return part.service == origin_->service;
                  });
  if (!leads_there) {
    ++state_->counters.take_ups_refused;
    Reject(ErrorKind::kStreamNotResumable,
           "The route no longer leads to the service that began the stream.",
           Millis(0));
    return false;
  }
  service_ = origin_->service;
  return true;
}

bool RequestHandler::MayStreamFrom(const UpstreamState& upstream) const {
  const SoftwareVersion& software = upstream.entry.software;
  if (!IsStream() || !route_->resumable) {
    return true;
  }
  if (origin_) {
    return !software.empty() && software == origin_->software &&
           unconfirmed_upstreams_.count(upstream.entry.id) == 0;
  }
  return deps_->hooks.may_begin_stream(service_, software);
}

std::vector<UpstreamState*> RequestHandler::UsableUpstreams(Millis now) const {
  std::vector<UpstreamState*> usable =
      state_->upstreams.UsableOf(service_, now);
  std::erase_if(usable, [&](const UpstreamState* upstream) {
    return !MayStreamFrom(*upstream);
  });
  return usable;
}

bool RequestHandler::RejectIfVersionGone() {
  if (!origin_ || response_started_ ||
      !UsableUpstreams(EventLoop::Now()).empty()) {
    return false;
  }
  ++state_->counters.take_ups_refused;
  Error error{ErrorKind::kStreamNotResumable,
              "No upstream serves of the version that began the stream.",
              may_have_run_ ? NotRun::kUnknown : NotRun::kTrue};
  if (may_have_run_) {
    Fail(error);
  } else {
    Reject(error.kind, error.detail, kVersionGoneRetryAfter);
  }
  return true;
}

// An upstream that has started anew under its id may be of another version than
// its entry still says. A stream that began there is doubted later; one that
// goes on there could not be taken back.
void RequestHandler::ConfirmStart(const UpstreamState& upstream) {
  auto self = shared_from_this();
  const UpstreamId id = upstream.entry.id;
  const int64_t started_ms = upstream.entry.started_ms;
  deps_->hooks.confirm_start(id, started_ms, [self, id, started_ms](bool ok) {
    self->OnStartConfirmed(id, started_ms, ok);
  });
}

void RequestHandler::OnStartConfirmed(const UpstreamId& id, int64_t started_ms,
                                      bool is_same) {
  if (finished_ || call_id_ != 0) {
    return;
  }
  if (TakesNoRequests(id)) {
    Dispatch();
    return;
  }
  UpstreamState* upstream = state_->upstreams.Find(id);
  bool usable = upstream != nullptr &&
                upstream->entry.started_ms == started_ms &&
                upstream->IsUsable(EventLoop::Now());
  if (is_same && usable) {
    confirmed_upstream_ = id;
    confirmed_started_ms_ = started_ms;
    if (Revalidate()) {
      StartAttempt(upstream);
    }
    return;
  }
  LogInfo("request", "Upstream id={} of request id={} is not started_ms={}.",
          id.str(), request_.id.str(), started_ms);
  tried_upstreams_.push_back(id);
  unconfirmed_upstreams_.insert(id);
  Dispatch();
}

void RequestHandler::RecordOrigin() {
  if (!route_->resumable) {
    return;
  }
  StreamOrigin origin;
  origin.service = service_;
  origin.software = upstream_software_;
  origin.upstream = upstream_;
  origin.upstream_started_ms = upstream_started_ms_;
  origin_ = StreamFinding{service_, upstream_software_};
  deps_->hooks.stream_running(StreamId(), origin);
}

}  // namespace bilberrypitch
