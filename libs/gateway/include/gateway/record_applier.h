// Applies the records of the store to the state of this instance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "serving/departed_upstreams.h"
#include "serving/ids.h"
#include "serving/ownership.h"
#include "serving/store_item.h"
#include "serving/store_record.h"
#include "transport/timer.h"

namespace bilberrypitch {

class CallerFrontend;
class ColdService;
class CrashService;
class EventLoop;
class KeptConfigService;
class Membership;
class OrderService;
class PartCrashService;
class PrefillService;
class RateLimitService;
class StreamService;
struct ServingState;
struct UpstreamState;

// Decodes each record and passes it to the services that it concerns. Must be
// used on the event loop's thread only.
class RecordApplier {
 public:
  // The pointers are not owned and must outlive the applier.
  struct Deps {
    ServingState* state = nullptr;
    Membership* membership = nullptr;
    OrderService* orders = nullptr;
    PrefillService* prefills = nullptr;
    CrashService* crashes = nullptr;
    PartCrashService* part_crashes = nullptr;
    RateLimitService* rate_limits = nullptr;
    CallerFrontend* callers = nullptr;
    KeptConfigService* kept_config = nullptr;
    ColdService* cold = nullptr;
    StreamService* streams = nullptr;
    StoreRecordDecoder decode_record;
    // A configuration of this store revision was seen.
    std::function<void(StoreRevision revision)> on_config_revision;
    // Upstreams leave, are gone or are in a zone that was evacuated: requests
    // that wait for them have to choose again.
    std::function<void()> on_upstreams_unavailable;
  };

  RecordApplier(EventLoop* loop, Deps deps);

  // Applies a record that was written or removed. `return_deadline`:
  // until then, a removed record may return; zero: it does not. Returns whether
  // the record differs from the previous one of its key in something that an
  // instance uses.
  bool Apply(const StoreItem& item, Millis return_deadline);
  // The records of a full read follow. `is_new_era`: the store came back from
  // an older copy since the last one.
  void OnFullReadStarted(bool is_new_era) { reading_copy_ = is_new_era; }
  // All records were applied that exist at `revision`: removes the others.
  void OnFullRead(const std::vector<StoreItem>& items, StoreRevision revision,
                  Millis return_deadline);

  // Until when missing upstreams may return; zero: they do not.
  void OnReturnDeadline(Millis return_deadline);

  // An upstream is new or restarted.
  void OnUpstreamStarted(const UpstreamState& upstream);
  // An upstream leaves or is gone.
  void OnUpstreamUnavailable(const UpstreamId& id);
  // The owner of a resource, or whether this instance may act as its owner, has
  // changed.
  void NotifyOwnershipChanged(const ResourceId& resource);
  // Returns null if the upstream is not known or its service has no models.
  const EngineProfile* EngineProfileOf(const UpstreamId& engine);

 private:
  // Whether an entry of the copy that is read is doubted.
  bool IsDoubted(const UpstreamEntry& entry, Millis now);
  // Whether the record states nothing new about the upstream.
  bool IsHeartbeat(const UpstreamRecord& record);
  void OnHeartbeat(const UpstreamRecord& record, Millis now);
  // `item`: the operator's record of it.
  void OnConfig(ServingConfig config, const StoreItem& item);
  void OnKeptConfig(const StoreItem& item);
  void ApplyRateLimits();
  void OnUpstreamRecord(const UpstreamRecord& record, Millis now,
                        Millis return_deadline);
  // Only upstreams of services with models are engines, and only these have an
  // owner.
  void AddEngineResource(const UpstreamState& upstream);
  void OnAdapterVersionRecord(const AdapterVersionRecord& record);
  void OnEvacuationRecord(const ZoneEvacuationRecord& record,
                          const StoreItem& item);
  void OnEvacuationEnded(const ZoneId& zone);
  // The upstreams of a service, or their versions, may have changed.
  void UpdateLiveVersions();
  void ScheduleLiveVersions();
  // Lets requests that wait for upstreams choose again, soon.
  void ScheduleChoices();
  // Removes upstreams whose entries have not returned in time.
  void ExpireMissingUpstreams();

  const Deps deps_;
  std::map<UpstreamId, std::string> upstream_keys_;
  DepartedUpstreams departed_;
  bool reading_copy_ = false;  // The first full read of an era is applied.
  Timer expire_timer_;
  Timer live_versions_timer_;
  Timer choices_timer_;
};

}  // namespace bilberrypitch
