// What it means for a request that has not been sent that upstreams leave, or
// that their zone is evacuated.
#include <algorithm>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kEvacuatedRetryAfter{1000};
// An upstream that takes the place of one that leaves is registered by then, if
// there is one.
constexpr Millis kLeavingRetryAfter{1000};

}  // namespace

bool RequestHandler::TakesNoRequests(const UpstreamId& upstream) const {
  const UpstreamState* state = state_->upstreams.Find(upstream);
  return !upstream.empty() &&
         (state == nullptr || !state->IsUsable(EventLoop::Now()));
}

void RequestHandler::OnUpstreamsUnavailable() {
  bool may_wait = !finished_ && call_id_ == 0 && is_dispatched_;
  if (may_wait && EndUnavailableWaits() && !permit_pending_) {
    wait_timer_.Cancel();
    Dispatch();
  }
}

bool RequestHandler::EndUnavailableWaits() {
  size_t load_requests =
      std::erase_if(load_requested_at_, [this](const UpstreamId& engine) {
        if (!TakesNoRequests(engine)) {
          return false;
        }
        deps_->hooks.adapter_wait_changed(engine, request_.model, -1);
        return true;
      });
  bool ended = load_requests > 0;
  if (prefill_request_number_ != 0 && TakesNoRequests(prefill_engine_)) {
    ReleasePrefill(false);
    ended = true;
  }
  if (permit_pending_ && TakesNoRequests(permit_asked_at_)) {
    permit_pending_ = false;  // Its answer is ignored.
    ended = true;
  }
  if (TakesNoRequests(permit_upstream_)) {
    ReturnPermit();
    ended = true;
  }
  return ended;
}

bool RequestHandler::RejectIfEvacuated() {
  if (state_->evacuations.size() == 0) {
    return false;
  }
  Millis now = EventLoop::Now();
  const Service* service = config_->FindService(service_);
  bool needs_model =
      service != nullptr && service->engine && !request_.model.model.empty();
  bool evacuated = false;
  for (const auto& [id, upstream] : state_->upstreams.all()) {
    bool can_take = upstream->entry.service == service_ &&
                    upstream->IsServing(now) && MayStreamFrom(*upstream) &&
                    (!needs_model || state_->residency.HoldsBaseModel(
                                         id, request_.model.model, now));
    if (can_take && !upstream->IsZoneEvacuated()) {
      return false;
    }
    evacuated = evacuated || can_take;
  }
  if (!evacuated) {
    return false;
  }
  ++state_->counters.refused_evacuated;
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown, "All upstreams are in evacuated zones.",
          NotRun::kUnknown});
  } else {
    Reject(ErrorKind::kUpstreamUnavailable,
           "All upstreams are in evacuated zones.", kEvacuatedRetryAfter);
  }
  return true;
}

bool RequestHandler::RejectIfAllLeave() {
  Millis now = EventLoop::Now();
  bool some_leave = false;
  for (const auto& [id, upstream] : state_->upstreams.all()) {
    bool is_of_service = upstream->entry.service == service_;
    if (is_of_service && upstream->IsServing(now)) {
      return false;
    }
    some_leave = some_leave ||
                 (is_of_service && upstream->membership.state() ==
                                       UpstreamMembership::State::kLeaving);
  }
  if (!some_leave) {
    return false;
  }
  ++state_->counters.refused_all_leave;
  if (may_have_run_) {
    Fail(
        {ErrorKind::kOutcomeUnknown, "All upstreams leave.", NotRun::kUnknown});
  } else {
    Reject(ErrorKind::kUpstreamUnavailable, "All upstreams leave.",
           kLeavingRetryAfter);
  }
  return true;
}

}  // namespace bilberrypitch
