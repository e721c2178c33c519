// What the evacuation of a zone means for a request that has not been sent.
#include <algorithm>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kEvacuatedRetryAfter{1000};

}  // namespace

bool RequestHandler::IsEvacuated(const UpstreamId& upstream) const {
  const UpstreamState* state = state_->upstreams.Find(upstream);
  return state != nullptr && state->IsZoneEvacuated();
}

void RequestHandler::OnZoneEvacuated() {
  bool may_wait = !finished_ && call_id_ == 0 && is_dispatched_;
  if (may_wait && EndEvacuatedWaits() && !permit_pending_) {
    wait_timer_.Cancel();
    Dispatch();
  }
}

bool RequestHandler::EndEvacuatedWaits() {
  size_t load_requests =
      std::erase_if(load_requested_at_, [this](const UpstreamId& engine) {
        if (!IsEvacuated(engine)) {
          return false;
        }
        deps_->hooks.adapter_wait_changed(engine, request_.model, -1);
        return true;
      });
  bool ended = load_requests > 0;
  if (prefill_request_number_ != 0 && IsEvacuated(prefill_engine_)) {
    ReleasePrefill(false);
    ended = true;
  }
  if (permit_pending_ && IsEvacuated(permit_asked_at_)) {
    permit_pending_ = false;  // Its answer is ignored.
    ended = true;
  }
  if (IsEvacuated(permit_upstream_)) {
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

}  // namespace bilberrypitch
