// Timer and log of the cold upstreams.
#include "gateway/cold_service.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

void LogChange(const UpstreamState& upstream) {
  if (upstream.IsCold()) {
    LogInfo("upstream", "Cold id={} for_ms={} permits_per_s={}.",
            upstream.entry.id.str(),
            (upstream.cold_period.until() - EventLoop::Now()).count(),
            *upstream.cold_limit_per_s);
  } else {
    LogInfo("upstream", "Warm id={}.", upstream.entry.id.str());
  }
}

}  // namespace

ColdService::ColdService(EventLoop* loop, ServingState* state)
    : state_(state),
      upstreams_(&state->upstreams, state->settings.bounds.cold_factor,
                 state->settings.bounds.cold_extra, LogChange),
      timer_(loop) {}

bool ColdService::OnEntry(const UpstreamId& id, bool is_of_copy) {
  bool is_news = upstreams_.OnEntry(id, is_of_copy, state_->config.get(),
                                    EventLoop::Now());
  const UpstreamState* upstream = state_->upstreams.Find(id);
  if (upstream != nullptr && upstream->IsCold()) {
    Update();
  }
  return is_news;
}

void ColdService::OnEvacuationEnded(const ZoneId& zone) {
  upstreams_.OnEvacuationEnded(zone, state_->config.get(), EventLoop::Now());
  Update();
}

void ColdService::Update() {
  Millis now = EventLoop::Now();
  Millis due = upstreams_.Update(state_->config.get(), now);
  if (due != Millis(0)) {
    timer_.Start(std::max(Millis(1), due - now), [this] { Update(); });
  }
}

}  // namespace bilberrypitch
