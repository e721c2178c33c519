// Derives the rate limits of cold upstreams.
#include "serving/cold_upstreams.h"

#include <algorithm>
#include <utility>

#include "serving/active_config.h"
#include "serving/cold_permits.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

// Null if the upstreams of the service are never cold.
const Service* ColdServiceOf(const UpstreamState& upstream,
                             const ActiveConfig* config) {
  const Service* service =
      config != nullptr ? config->FindService(upstream.entry.service) : nullptr;
  return service != nullptr && service->cold_per_s > 0 ? service : nullptr;
}

}  // namespace

ColdUpstreams::ColdUpstreams(UpstreamRegistry* upstreams, double over,
                             double slack, OnChange on_change)
    : upstreams_(upstreams),
      over_(over),
      slack_(slack),
      on_change_(std::move(on_change)) {}

bool ColdUpstreams::OnEntry(const UpstreamId& id, bool is_of_copy,
                            const ActiveConfig* config, Millis now) {
  UpstreamState* upstream = upstreams_->Find(id);
  if (upstream == nullptr || upstream->membership.is_gone()) {
    return false;
  }
  bool is_news =
      upstream->cold_period.OnEntry(upstream->entry.cold_left, is_of_copy, now);
  SetLimit(upstream, config, now);
  return is_news && ColdServiceOf(*upstream, config) != nullptr;
}

void ColdUpstreams::OnEvacuationEnded(const ZoneId& zone,
                                      const ActiveConfig* config, Millis now) {
  for (const auto& [id, upstream] : upstreams_->all()) {
    const Service* service = ColdServiceOf(*upstream, config);
    if (upstream->entry.zone == zone && service != nullptr) {
      upstream->cold_period.Assume(service->cold_time, now);
      SetLimit(upstream.get(), config, now);
    }
  }
}

Millis ColdUpstreams::Update(const ActiveConfig* config, Millis now) {
  Millis next;
  for (const auto& [id, upstream] : upstreams_->all()) {
    SetLimit(upstream.get(), config, now);
    if (upstream->IsCold()) {
      Millis until = upstream->cold_period.until();
      next = next == Millis(0) ? until : std::min(next, until);
    }
  }
  return next;
}

void ColdUpstreams::SetLimit(UpstreamState* upstream,
                             const ActiveConfig* config, Millis now) {
  const Service* service = ColdServiceOf(*upstream, config);
  std::optional<double> limit;
  if (service != nullptr && !upstream->membership.is_gone() &&
      upstream->cold_period.IsCold(now)) {
    limit = ColdPermitRate(service->cold_per_s, over_, slack_);
  }
  if (UpstreamRegistry::SetColdLimit(upstream, limit)) {
    on_change_(*upstream);
  }
}

}  // namespace bilberrypitch
