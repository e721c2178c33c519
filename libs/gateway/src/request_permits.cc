// Permits of a request for upstreams that state a rate limit.
#include <algorithm>

#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// A request does not wait for a permit so long that less time is left.
constexpr Millis kMinTimeToServe{100};
// Delay before the upstream is chosen again when a permit was denied; doubled
// with each further denial.
constexpr Millis kPermitDeniedDelay{5};
constexpr uint32_t kMaxDenialDoublings = 5;

}  // namespace

bool RequestHandler::HasPermit(const UpstreamState& upstream) const {
  if (!upstream.rate_limit_per_s) {
    return true;
  }
  bool is_usable = !upstream.IsCold() || (permit_use_by_ != Millis(0) &&
                                          EventLoop::Now() <= permit_use_by_);
  return permit_upstream_ == upstream.entry.id && is_usable;
}

void RequestHandler::AskForPermit(const UpstreamState& upstream) {
  ReturnPermit();
  ReleasePrefill(false);
  permit_pending_ = true;
  permit_asked_at_ = upstream.entry.id;
  wait_timer_.Cancel();
  Millis longest_wait = std::min(choice_margin_, TimeLeft() - kMinTimeToServe);
  auto self = shared_from_this();
  deps_->hooks.acquire_permit(
      upstream.entry.id, *upstream.rate_limit_per_s,
      std::max(Millis(0), longest_wait),
      [self, id = upstream.entry.id](const Permit& permit) {
        self->OnPermit(id, permit);
      });
}

void RequestHandler::OnPermit(const UpstreamId& id, const Permit& permit) {
  // Of an earlier question, whose upstream's zone was evacuated meanwhile.
  bool is_outdated = !permit_pending_ || id != permit_asked_at_;
  permit_pending_ = permit_pending_ && is_outdated;
  if (finished_ || call_id_ != 0 || is_outdated) {
    if (permit.granted && permit.by_first_issuer) {
      deps_->hooks.return_permit(id);
    }
    return;
  }
  Millis now = EventLoop::Now();
  if (UpstreamState* upstream = state_->upstreams.Find(id)) {
    upstream->rate_limited_until = now + permit.wait;
  }
  state_->permit_waits[service_].OnStated(permit.wait, now);
  if (permit.granted) {
    permit_upstream_ = id;
    permit_returnable_ = permit.by_first_issuer;
    permit_turn_at_ = now + permit.wait;
    permit_use_by_ = permit.lifetime == Millis(0)
                         ? Millis(0)
                         : permit_turn_at_ + permit.lifetime;
    KeepAdapter(id);
    Dispatch();
    return;
  }
  if (choice_margin_ >= TimeLeft()) {  // There is no other upstream.
    RejectForRateLimit(permit.wait);
    return;
  }
  // Others are asked soon at first, then less and less often.
  Millis delay = kPermitDeniedDelay *
                 (int64_t{1} << std::min(permit_denials_, kMaxDenialDoublings));
  ++permit_denials_;
  auto self = shared_from_this();
  wait_timer_.Start(delay, [self] { self->Dispatch(); });
}

void RequestHandler::RejectForRateLimit(Millis retry_after) {
  if (may_have_run_) {
    Fail({ErrorKind::kOutcomeUnknown, "No upstream can take it in time.",
          NotRun::kUnknown});
  } else {
    Reject(ErrorKind::kUpstreamUnavailable,
           "Upstreams take no more requests in time.", retry_after);
  }
}

// Lets the owner of the engine know that the request waits for the adapter, so
// that it is not evicted until the turn of the permit.
void RequestHandler::KeepAdapter(const UpstreamId& engine) {
  if (request_.model.is_adapter() && load_requested_at_.insert(engine).second) {
    deps_->hooks.adapter_wait_changed(engine, request_.model, 1);
  }
}

void RequestHandler::ReturnPermit() {
  if (!permit_upstream_.empty() && permit_returnable_) {
    deps_->hooks.return_permit(permit_upstream_);
  }
  permit_upstream_ = UpstreamId();
}

}  // namespace bilberrypitch
