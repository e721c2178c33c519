// Applies each kind of record to the services that it concerns.
#include "gateway/record_applier.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "gateway/caller_frontend.h"
#include "gateway/cluster_records.h"
#include "gateway/cold_service.h"
#include "gateway/crash_service.h"
#include "gateway/kept_config_service.h"
#include "gateway/membership.h"
#include "gateway/order_service.h"
#include "gateway/part_crash_service.h"
#include "gateway/prefill_service.h"
#include "gateway/rate_limit_service.h"
#include "gateway/serving_state.h"
#include "gateway/stream_service.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// From a change of upstreams to the pass over their versions.
constexpr Millis kLiveVersionsDelay{1};
// From the record that makes upstreams unavailable until requests that wait for
// them choose again.
constexpr Millis kChoicesDelay{1};

}  // namespace

RecordApplier::RecordApplier(EventLoop* loop, Deps deps)
    : deps_(std::move(deps)),
      expire_timer_(loop),
      live_versions_timer_(loop),
      choices_timer_(loop) {}

bool RecordApplier::Apply(const StoreItem& item, Millis return_deadline) {
  if (item.key == KeptConfigKey()) {
    OnKeptConfig(item);
    return true;
  }
  StoreRecord record = deps_.decode_record(item);
  Millis now = EventLoop::Now();
  if (auto* config = std::get_if<ConfigRecord>(&record)) {
    deps_.on_config_revision(item.revision);
    deps_.kept_config->OnStoreVersion(config->config.version);
    OnConfig(std::move(config->config), item);
  } else if (auto* upstream = std::get_if<UpstreamRecord>(&record)) {
    if (reading_copy_ && upstream->entry && IsDoubted(*upstream->entry, now)) {
      LogInfo("upstream", "Doubts the entry of the copy, id={}.",
              upstream->id.str());
      upstream_keys_[upstream->id] = item.key;
      return true;
    }
    departed_.OnEntryChanged(upstream->id);
    if (IsHeartbeat(*upstream)) {
      OnHeartbeat(*upstream, now);
      bool is_news = deps_.cold->OnEntry(upstream->id, reading_copy_);
      // While records return, a follower may have read an older entry.
      return is_news || return_deadline != Millis(0);
    }
    upstream_keys_[upstream->id] = item.key;
    OnUpstreamRecord(*upstream, now, return_deadline);
  } else if (auto* version = std::get_if<AdapterVersionRecord>(&record)) {
    OnAdapterVersionRecord(*version);
  } else if (auto* evacuation = std::get_if<ZoneEvacuationRecord>(&record)) {
    OnEvacuationRecord(*evacuation, item);
  } else if (auto* malformed = std::get_if<MalformedRecord>(&record)) {
    LogWarning("store", "Skipped a malformed record: {}.", malformed->reason);
  } else {
    deps_.membership->OnStoreItem(item);
    deps_.part_crashes->OnStoreItem(item);
    deps_.streams->OnStoreItem(item);
  }
  return true;
}

bool RecordApplier::IsDoubted(const UpstreamEntry& entry, Millis now) {
  const UpstreamState* upstream = deps_.state->upstreams.Find(entry.id);
  bool is_living = upstream != nullptr && !upstream->membership.is_gone();
  return departed_.OnEntryOfCopy(entry, now,
                                 is_living ? &upstream->entry : nullptr);
}

bool RecordApplier::IsHeartbeat(const UpstreamRecord& record) {
  const UpstreamState* upstream = deps_.state->upstreams.Find(record.id);
  return record.entry && upstream != nullptr &&
         !upstream->membership.is_gone() &&
         !upstream->membership.is_missing() &&
         EqualButForAdapters(upstream->entry, *record.entry);
}

void RecordApplier::OnHeartbeat(const UpstreamRecord& record, Millis now) {
  deps_.state->upstreams.OnRecord(record, now, Millis(0));
  deps_.state->residency.SetBaseModels(record.id, record.entry->models);
}

void RecordApplier::OnKeptConfig(const StoreItem& item) {
  deps_.kept_config->OnKeptRemoved();
  std::optional<StoreItem> config_item = DecodeKeptConfig(item);
  if (!config_item) {
    return;
  }
  StoreRecord record = deps_.decode_record(*config_item);
  if (auto* config = std::get_if<ConfigRecord>(&record)) {
    deps_.kept_config->OnKept(config->config.version, item.revision);
    OnConfig(std::move(config->config), *config_item);
  }
}

void RecordApplier::OnConfig(ServingConfig config, const StoreItem& item) {
  if (deps_.state->config != nullptr &&
      config.version <= deps_.state->config->version()) {
    return;  // An older version never takes effect again.
  }
  LogInfo("config", "Version {} in force, era={} revision={}, routes={}.",
          config.version, item.revision.era, item.revision.number,
          config.routes.size());
  deps_.kept_config->OnInForce(item, config.version);
  deps_.state->config = std::make_shared<const ActiveConfig>(std::move(config));
  const CallerLimits& limits = deps_.state->config->config().limits;
  deps_.callers->SetLimits(limits);
  deps_.cold->Update();
  ApplyRateLimits();
  deps_.streams->SetTimeToLive(deps_.state->config->MaxStreamTimeout());
  for (const ResourceId& resource :
       deps_.membership->ownership()->Resources()) {
    NotifyOwnershipChanged(resource);
  }
  for (const auto& [id, upstream] : deps_.state->upstreams.all()) {
    AddEngineResource(*upstream);
  }
}

void RecordApplier::ApplyRateLimits() {
  deps_.rate_limits->SetWorkspaces(deps_.state->config->config().workspaces);
  for (const Workspace& workspace : deps_.state->config->config().workspaces) {
    if (workspace.rate_per_s > 0) {
      deps_.membership->AddResource(RateResource(workspace.id), ZoneId());
    }
  }
}

const EngineProfile* RecordApplier::EngineProfileOf(const UpstreamId& engine) {
  UpstreamState* upstream = deps_.state->upstreams.Find(engine);
  if (upstream == nullptr || deps_.state->config == nullptr) {
    return nullptr;
  }
  const Service* service =
      deps_.state->config->FindService(upstream->entry.service);
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

void RecordApplier::AddEngineResource(const UpstreamState& upstream) {
  if (!upstream.membership.is_gone() &&
      EngineProfileOf(upstream.entry.id) != nullptr) {
    deps_.membership->AddResource(EngineResource(upstream.entry.id),
                                  upstream.entry.zone);
  }
}

void RecordApplier::OnUpstreamRecord(const UpstreamRecord& record, Millis now,
                                     Millis return_deadline) {
  deps_.state->upstreams.OnRecord(record, now, return_deadline);
  UpstreamState* upstream = deps_.state->upstreams.Find(record.id);
  if (upstream != nullptr && record.entry) {
    AddEngineResource(*upstream);
    deps_.state->residency.SetBaseModels(record.id, record.entry->models);
    deps_.cold->OnEntry(record.id, reading_copy_);
    if (upstream->IsServing(now)) {
      // The owner may have stayed the same while the entry was away; what it
      // knew of the engine has ended with the entry.
      NotifyOwnershipChanged(EngineResource(record.id));
    }
  }
  ExpireMissingUpstreams();
}

void RecordApplier::OnUpstreamStarted(const UpstreamState& upstream) {
  LogInfo("upstream", "Started id={} service={} address={} zone={} version={}.",
          upstream.entry.id.str(), upstream.entry.service.str(),
          upstream.entry.address, upstream.entry.zone.str(),
          upstream.entry.software.str());
  deps_.crashes->OnUpstreamDown(upstream.entry.id);
  deps_.part_crashes->OnUpstreamDown(upstream.entry.id);
  deps_.state->residency.OnEngineReset(upstream.entry.id);
  deps_.orders->OnEngineStarted(upstream.entry.id);
  deps_.streams->OnUpstreamStarted(upstream);
  deps_.prefills->OnEngineReset(upstream.entry.id);
}

void RecordApplier::OnUpstreamUnavailable(const UpstreamId& id) {
  UpstreamState* upstream = deps_.state->upstreams.Find(id);
  bool is_leaving =
      upstream != nullptr &&
      upstream->membership.state() == UpstreamMembership::State::kLeaving;
  if (upstream != nullptr) {
    UpstreamEntry departed = upstream->entry;
    departed.draining = departed.draining || is_leaving;
    departed_.OnDeparted(departed, EventLoop::Now());
  }
  LogInfo("upstream", "Leaves id={} draining={}.", id.str(), is_leaving);
  if (!is_leaving) {
    deps_.crashes->OnUpstreamDown(id);
    deps_.part_crashes->OnUpstreamDown(id);
    deps_.membership->RemoveResource(EngineResource(id));
  }
  deps_.orders->OnEngineUnavailable(id);
  deps_.prefills->OnEngineReset(id);
  deps_.state->residency.OnEngineReset(id);
  ScheduleChoices();
}

// Once for all records that arrived together.
void RecordApplier::ScheduleChoices() {
  if (!choices_timer_.pending()) {
    choices_timer_.Start(kChoicesDelay, deps_.on_upstreams_unavailable);
  }
}

void RecordApplier::OnAdapterVersionRecord(const AdapterVersionRecord& record) {
  int64_t& required = deps_.state->required_versions[record.adapter];
  if (record.version <= required) {
    return;
  }
  required = record.version;
  LogInfo("version", "Adapter {} is to be used in version {}.",
          ToString(record.adapter), record.version);
  deps_.orders->OnRequiredVersion(record.adapter, record.version);
}

void RecordApplier::OnEvacuationRecord(const ZoneEvacuationRecord& record,
                                       const StoreItem& item) {
  if (!deps_.state->evacuations.OnRecord(record, item)) {
    return;
  }
  if (record.active) {
    LogInfo("zone", "Evacuation begins zone={} era={} revision={}.",
            record.zone.str(), item.revision.era, item.revision.number);
    ScheduleChoices();
  } else {
    OnEvacuationEnded(record.zone);
  }
}

void RecordApplier::OnEvacuationEnded(const ZoneId& zone) {
  LogInfo("zone", "Evacuation ends zone={}.", zone.str());
  deps_.cold->OnEvacuationEnded(zone);
}

void RecordApplier::NotifyOwnershipChanged(const ResourceId& resource) {
  if (UpstreamId engine = EngineOf(resource); !engine.empty()) {
    deps_.orders->OnOwnershipChanged(engine);
  }
  if (WorkspaceId workspace = WorkspaceOf(resource); !workspace.empty()) {
    deps_.rate_limits->OnOwnershipChanged(workspace);
  }
}

void RecordApplier::OnFullRead(const std::vector<StoreItem>& items,
                               StoreRevision revision, Millis return_deadline) {
  reading_copy_ = false;
  std::set<std::string> keys;
  for (const StoreItem& item : items) {
    keys.insert(item.key);
  }
  std::vector<UpstreamId> upstreams;
  for (const auto& [id, key] : upstream_keys_) {
    if (keys.count(key) > 0) {
      upstreams.push_back(id);
    }
  }
  Millis now = EventLoop::Now();
  deps_.state->upstreams.OnFullRead(upstreams, now, return_deadline);
  for (const ZoneId& zone :
       deps_.state->evacuations.OnFullRead(keys, revision)) {
    OnEvacuationEnded(zone);
  }
  std::erase_if(upstream_keys_, [&](const auto& entry) {
    return keys.count(entry.second) == 0;
  });
  deps_.membership->OnFullReadCompleted(keys, revision);
  deps_.part_crashes->OnFullRead(keys, revision.era);
  deps_.kept_config->OnFullRead(keys);
  deps_.streams->OnFullRead(keys);
  ExpireMissingUpstreams();
}

void RecordApplier::OnReturnDeadline(Millis return_deadline) {
  const UpstreamRegistry& upstreams = deps_.state->upstreams;
  bool some_missing = std::any_of(
      upstreams.all().begin(), upstreams.all().end(),
      [](const auto& it) { return it.second->membership.is_missing(); });
  if (some_missing) {
    Millis now = EventLoop::Now();
    deps_.state->upstreams.SetReturnDeadline(std::max(return_deadline, now));
    ExpireMissingUpstreams();
  }
}

void RecordApplier::UpdateLiveVersions() {
  std::map<ServiceId, std::set<SoftwareVersion>> live_versions;
  for (const auto& [id, upstream] : deps_.state->upstreams.all()) {
    auto& versions = live_versions[upstream->entry.service];
    if (!upstream->membership.is_gone()) {
      versions.insert(upstream->entry.software);
    }
  }
  deps_.streams->SetLiveVersions(std::move(live_versions));
}

// A full read changes many upstreams at once, and each pass goes over all.
void RecordApplier::ScheduleLiveVersions() {
  if (!live_versions_timer_.pending()) {
    live_versions_timer_.Start(kLiveVersionsDelay,
                               [this] { UpdateLiveVersions(); });
  }
}

void RecordApplier::ExpireMissingUpstreams() {
  Millis now = EventLoop::Now();
  for (const UpstreamEntry& entry : departed_.TakeTrusted(now)) {
    OnUpstreamRecord({entry.id, entry}, now, Millis(0));
  }
  Millis due = deps_.state->upstreams.ExpireMissing(now);
  ScheduleLiveVersions();
  Millis trusted_at = departed_.NextDue();
  if (due == Millis(0) || (trusted_at != Millis(0) && trusted_at < due)) {
    due = trusted_at;
  }
  if (due != Millis(0)) {
    expire_timer_.Start(std::max(Millis(1), due - now),
                        [this] { ExpireMissingUpstreams(); });
  }
}

}  // namespace bilberrypitch
