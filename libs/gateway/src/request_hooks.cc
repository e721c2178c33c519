// Wires the callbacks of requests to the services.
#include "gateway/request_hooks.h"

#include <utility>

#include "base/log.h"
#include "gateway/adapter_service.h"
#include "gateway/caller_frontend.h"
#include "gateway/crash_service.h"
#include "gateway/load_broadcaster.h"
#include "gateway/part_crash_service.h"
#include "gateway/path_service.h"
#include "gateway/peer_messenger.h"
#include "gateway/permit_service.h"
#include "gateway/prefill_service.h"
#include "gateway/rate_limit_service.h"
#include "gateway/request_handler.h"
#include "gateway/stream_service.h"
#include "schema/cluster.pb.h"

namespace bilberrypitch {

RequestHooks MakeRequestHooks(const RequestServices& services) {
  RequestHooks hooks;
  hooks.request_load = [services](const UpstreamId& engine,
                                  const ModelRef& target, int64_t version,
                                  bool reserve_slot) {
    services.adapters->RequestLoad(engine, target, version, reserve_slot);
  };
  hooks.adapter_wait_changed = [services](const UpstreamId& engine,
                                          const ModelRef& target, int change) {
    services.adapters->UpdateWaitCount(engine, target, change);
  };
  hooks.adapter_missing = [services](const UpstreamId& engine,
                                     const ModelRef& target) {
    services.adapters->ReportMissing(engine, target);
  };
  hooks.adapter_use_changed = [services](const UpstreamId& engine,
                                         const ModelRef& target, int change) {
    services.adapters->UpdateUseCount(engine, target, change);
  };
  hooks.connection_broken = [services](uint64_t fingerprint,
                                       const UpstreamId& id,
                                       int64_t started_ms) {
    services.crashes->OnConnectionBroken(fingerprint, {id, started_ms});
  };
  hooks.broken_before_response = [services](const PartCrash& suspicion) {
    services.part_crashes->OnConnectionBroken(suspicion);
  };
  hooks.response_begun = [services](const std::vector<PartId>& parts) {
    services.part_crashes->OnResponseBegun(parts);
  };
  hooks.upstream_unreachable = [services](const UpstreamId& id) {
    services.crashes->OnUpstreamDown(id);
    services.part_crashes->OnUpstreamDown(id);
  };
  hooks.acquire_rate_tokens = [services](
                                  const WorkspaceId& workspace, double cost,
                                  std::function<void(RateDecision)> done) {
    services.rate_limits->Acquire(workspace, cost, std::move(done));
  };
  hooks.request_prefill = [services](const UpstreamId& engine,
                                     const ModelRef& target, int64_t tokens,
                                     int priority,
                                     std::function<void()> on_granted) {
    return services.prefills->RequestPrefill(engine, target, tokens, priority,
                                             std::move(on_granted));
  };
  hooks.renew_prefill_request = [services](uint64_t request_number) {
    services.prefills->RenewRequest(request_number);
  };
  hooks.prefill_owner_responded = [services](uint64_t request_number) {
    return services.prefills->OwnerResponded(request_number);
  };
  hooks.release_prefill = [services](uint64_t request_number, bool prefilled) {
    services.prefills->Release(request_number, prefilled);
  };
  hooks.acquire_permit = [services](const UpstreamId& upstream,
                                    double rate_per_s, Millis max_wait,
                                    std::function<void(Permit)> done) {
    services.permits->Acquire(upstream, rate_per_s, max_wait, std::move(done));
  };
  hooks.return_permit = [services](const UpstreamId& upstream) {
    services.permits->Return(upstream);
  };
  hooks.rate_limit_changed = [services](const UpstreamId& upstream,
                                        std::optional<double> limit) {
    services.permits->OnLimitChanged(upstream, limit);
  };
  hooks.path_is_lost = [services] { return services.paths->is_lost(); };
  hooks.choose_relay = [services](uint64_t hash,
                                  const std::set<MachineId>& excluded) {
    return services.paths->ChooseRelay(hash, excluded);
  };
  hooks.upstream_reached = [services] { services.paths->OnReached(); };
  hooks.upstream_unreached = [services](const UpstreamId& id) {
    services.paths->OnUnreached(id);
  };
  hooks.attempt_started = [services] { services.paths->OnRequestSent(); };
  hooks.attempt_ended = [services] { services.paths->OnRequestEnded(); };
  hooks.bytes_received = [services] { services.paths->OnBytes(); };
  hooks.brittleness_changed = [services](const UpstreamId& id,
                                         std::optional<double> per_s) {
    LogInfo("upstream", "Bears rejections id={} per_s={}.", id.str(),
            per_s.value_or(-1));
    schema::PeerItem item;
    schema::BrittleNews* news = item.mutable_brittle_news();
    news->set_upstream(id.str());
    news->set_is_brittle(per_s.has_value());
    news->set_rejections_per_s(per_s.value_or(0));
    services.peers->Broadcast(item);
  };
  hooks.upstream_leaves = services.upstream_leaves;
  hooks.capacity_sampled = [services](const UpstreamId& id) {
    services.loads->OnCapacitySample(id);
  };
  hooks.may_begin_stream = [services](const ServiceId& service,
                                      const SoftwareVersion& version) {
    return services.streams->MayBegin(service, version);
  };
  hooks.stream_running = [services](const RequestId& began_as,
                                    const StreamOrigin& origin) {
    services.streams->OnStream(began_as, origin);
  };
  hooks.confirm_start = [services](const UpstreamId& id, int64_t started_ms,
                                   std::function<void(bool)> done) {
    if (!services.check_start({id, started_ms}, done)) {
      done(true);
    }
  };
  hooks.find_stream = [services](
                          const RequestId& began_as, const ServiceId& service,
                          std::function<void(const StreamFinding&)> done) {
    services.streams->Find(began_as, service, std::move(done));
  };
  hooks.request_ended = [services](uint64_t connection_id) {
    services.callers->OnRequestEnded(connection_id);
  };
  return hooks;
}

}  // namespace bilberrypitch
