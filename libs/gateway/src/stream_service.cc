// Exchange of streams' origins between instances, and their records.
#include "gateway/stream_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/cluster_store.h"
#include "serving/upstream_registry.h"
#include "serving/zone_readers.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr Millis kDefaultTimeToLive{30 * 1000};
// The shortest time between two batches of an instance, for each that saves
// some, as the store serves all. A kill of all forgets the streams of a batch
// that is not saved yet.
constexpr Millis kSaveIntervalPerSaver{125};
constexpr Millis kMaxSaveInterval{1000};
// All instances are asked for a stream up to this number, readers beyond it.
constexpr size_t kMaxAskedOfAll = 16;
// An instance with an older view may not know of the latest version.
constexpr Millis kMaxViewAge{2000};
// An instance may know of a change in the store this much later than it
// happened.
constexpr Millis kMaxEntryDelay{10 * 1000};

uint64_t ToNumber(StreamKey key) { return static_cast<uint64_t>(key); }

}  // namespace

StreamService::StreamService(EventLoop* loop, ClusterStore* store,
                             PeerMessenger* peers, const ClusterMember& self,
                             bool is_first_start, Hooks hooks)
    : store_(store),
      peers_(peers),
      self_(self),
      hooks_(std::move(hooks)),
      time_to_live_(kDefaultTimeToLive),
      served_(kDefaultTimeToLive + kMaxEntryDelay, is_first_start),
      saver_(loop, store, self, kDefaultTimeToLive,
             [this] { return SaveInterval(); }),
      search_(loop, store, peers, SearchHooks()),
      versions_timer_(loop) {}

StreamSearch::Hooks StreamService::SearchHooks() {
  StreamSearch::Hooks hooks;
  hooks.whom_to_ask = [this] { return WhomToAsk(); };
  hooks.known = [this](StreamKey key) {
    return origins_.Find(key, EventLoop::Now());
  };
  hooks.only_version = [this](const ServiceId& service) {
    return served_.OnlyVersion(service);
  };
  hooks.view_age = [this] { return hooks_.view_age(); };
  hooks.apply = [this](const StoreItem& item) { OnStoreItem(item); };
  return hooks;
}

void StreamService::SetTimeToLive(Millis time_to_live) {
  time_to_live_ = std::max(time_to_live, kDefaultTimeToLive);
  served_.SetTimeToLive(time_to_live_ + kMaxEntryDelay);
  saver_.SetTimeToLive(time_to_live_);
}

// Versions.

void StreamService::SetLiveVersions(
    std::map<ServiceId, std::set<SoftwareVersion>> live_versions) {
  Millis now = EventLoop::Now();
  for (auto& [service, versions] : live_versions) {
    served_.SetLive(service, std::move(versions), now);
  }
  ScheduleWriteVersions();
}

void StreamService::OnStoreItem(const StoreItem& item) {
  std::optional<ServiceId> service = ServiceFromVersionsKey(item.key);
  if (service) {
    std::optional<VersionRecord> record = DecodeServedVersions(item);
    if (record) {
      served_.OnRecord(*service, std::move(*record), EventLoop::Now());
    } else {
      served_.OnRecordRemoved(*service);
    }
    ReportAll();
    ScheduleWriteVersions();
    return;
  }
  schema::StreamBatchValue batch;
  if (IsStreamBatchKey(item.key) && !item.deleted &&
      batch.ParseFromString(item.value)) {
    for (const schema::StreamsOfVersion& group : batch.groups()) {
      Keep(group);
    }
  }
}

void StreamService::OnFullRead(const std::set<std::string>& keys) {
  for (const ServiceId& service : served_.Services()) {
    if (keys.count(ServedVersionsKey(service)) == 0) {
      served_.OnRecordRemoved(service);
    }
  }
  ScheduleWriteVersions();
}

void StreamService::OnEra(int64_t era) {
  if (!served_.OnEra(era, EventLoop::Now())) {
    return;
  }
  // The copy may lack the batches, and it has lost their lease.
  saver_.OnNewEra();
  for (const ServiceId& service : mixed_) {
    for (const auto& [key, origin] : origins_.All(service, EventLoop::Now())) {
      saver_.Add({service, origin.software}, key);
    }
  }
  ScheduleWriteVersions();
}

void StreamService::ScheduleWriteVersions() {
  versions_timer_.Start(Millis(1), [this] { WriteVersions(); });
}

void StreamService::WriteVersions() {
  Millis now = EventLoop::Now();
  if (hooks_.view_age() > kMaxViewAge) {
    // What this instance sees as gone may be back.
    versions_timer_.Start(kMaxViewAge, [this] { WriteVersions(); });
    return;
  }
  std::optional<ServedVersions::Write> write =
      served_.TakeWrite(hooks_.rank(), now);
  if (write) {
    WriteRecord(write->service, std::move(write->record));
  }
  Millis due = served_.NextDue(now);
  if (due != Millis(0)) {
    versions_timer_.Start(due - now, [this] { WriteVersions(); });
  }
}

void StreamService::WriteRecord(const ServiceId& service,
                                VersionRecord record) {
  const std::string key = ServedVersionsKey(service);
  StoreTransaction transaction;
  transaction.conditions.push_back({key, record.revision});
  transaction.writes.push_back({key, EncodeServedVersions(record), 0});
  LogInfo("upstream", "Writes versions of service={} active={} retired={}.",
          service.str(), record.active.size(), record.retired.size());
  store_->Commit(
      std::move(transaction), [this, service, record = std::move(record)](
                                  const StoreCommitResult& result) {
        if (result.outcome == StoreOutcome::kOk) {
          VersionRecord written = record;
          written.revision = result.revision;
          served_.OnRecord(service, std::move(written), EventLoop::Now());
          ReportAll();
        }
        for (const StoreItem& item : result.current) {
          OnStoreItem(item);
        }
        ScheduleWriteVersions();
      });
}

bool StreamService::MayBegin(const ServiceId& service,
                             const SoftwareVersion& version) const {
  return served_.MayBegin(service, version);
}

// What began here, and what others are told.

void StreamService::OnStream(const RequestId& began_as, StreamOrigin origin) {
  if (began_as.empty() || origin.software.empty()) {
    return;  // Nothing could go on from it.
  }
  Millis now = EventLoop::Now();
  origin.begun_at = now;
  origin.expires_at = now + time_to_live_;
  const StreamGroup group{origin.service, origin.software};
  const StreamKey key = StreamKeyOf(began_as);
  const bool is_mixed = mixed_.count(origin.service) > 0;
  origins_.Add(key, std::move(origin), now);
  if (is_mixed) {
    origins_.SetReported(key);
    Report({{group, {key}}});
  }
}

void StreamService::ReportAll() {
  Millis now = EventLoop::Now();
  for (const ServiceId& service : served_.Services()) {
    if (!served_.IsMixed(service)) {
      mixed_.erase(service);
      continue;
    }
    mixed_.insert(service);
    StreamGroups groups;
    for (const auto& [key, origin] : origins_.TakeUnreported(service, now)) {
      groups[{service, origin.software}].push_back(key);
    }
    Report(groups);
  }
}

std::vector<ClusterMember> StreamService::ReadersOfZone(
    const ZoneId& zone) const {
  std::vector<ClusterMember> members;
  if (zone == self_.zone) {
    members.push_back(self_);
  }
  for (const auto& [machine, member] : peers_->peers()) {
    if (member.zone == zone) {
      members.push_back(member);
    }
  }
  return ReadersOf(std::move(members));
}

// The zone after this instance's in the order of their names.
ZoneId StreamService::NextZone() const {
  std::set<ZoneId> zones;
  for (const auto& [machine, member] : peers_->peers()) {
    zones.insert(member.zone);
  }
  auto next = zones.upper_bound(self_.zone);
  if (next == zones.end()) {
    next = zones.begin();
  }
  return next == zones.end() ? self_.zone : *next;
}

void StreamService::Report(const StreamGroups& groups) {
  const std::vector<ClusterMember> own = ReadersOfZone(self_.zone);
  const std::vector<ClusterMember> other = ReadersOfZone(NextZone());
  for (const auto& [group, keys] : groups) {
    // One reader of each zone for a message: which of them is told doesn't
    // matter, as a caller's instance asks all.
    const uint64_t number = ToNumber(keys.front());
    const MachineId& saver = own[number % own.size()].machine;
    SendNews(saver, group, keys, true);
    const MachineId& second =
        other.empty() ? saver : other[number % other.size()].machine;
    if (second != saver) {
      SendNews(second, group, keys, false);
    }
  }
}

void StreamService::SendNews(const MachineId& to, const StreamGroup& group,
                             const std::vector<StreamKey>& keys, bool save) {
  if (to == self_.machine) {
    for (StreamKey key : keys) {
      if (save) {
        saver_.Add(group, key);
      }
    }
    return;
  }
  constexpr size_t kKeysPerMessage = 64;
  for (size_t i = 0; i < keys.size(); i += kKeysPerMessage) {
    schema::PeerItem item;
    schema::StreamNews* news = item.mutable_stream_news();
    news->set_save(save);
    news->mutable_group()->set_service(group.first.str());
    news->mutable_group()->set_software(group.second.str());
    news->mutable_group()->set_time_left_ms(time_to_live_.count());
    for (size_t j = i; j < std::min(keys.size(), i + kKeysPerMessage); ++j) {
      news->mutable_group()->add_streams(ToNumber(keys[j]));
    }
    peers_->Send(to, std::move(item));
  }
}

void StreamService::OnNews(const schema::StreamNews& news) {
  Keep(news.group());
  if (!news.save()) {
    return;
  }
  const StreamGroup group{ServiceId(news.group().service()),
                          SoftwareVersion(news.group().software())};
  for (uint64_t number : news.group().streams()) {
    saver_.Add(group, StreamKey{number});
  }
}

void StreamService::Keep(const schema::StreamsOfVersion& group) {
  Millis now = EventLoop::Now();
  StreamOrigin origin;
  origin.service = ServiceId(group.service());
  origin.software = SoftwareVersion(group.software());
  origin.expires_at =
      now + std::min(time_to_live_, Millis(group.time_left_ms()));
  for (uint64_t number : group.streams()) {
    std::optional<StreamOrigin> known = origins_.Find(StreamKey{number}, now);
    // What began here is known best here, and a doubt stays.
    if (!known || (known->upstream.empty() && !known->software.empty())) {
      origins_.Add(StreamKey{number}, origin, now);
    }
  }
}

// An upstream that has started anew under its id may have written the latest
// streams as the version that it is now, before its entry said so.
void StreamService::OnUpstreamStarted(const UpstreamState& upstream) {
  StreamGroups groups;
  for (const auto& [key, origin] :
       origins_.Doubt(upstream.entry.id, upstream.entry.software,
                      EventLoop::Now() - kMaxEntryDelay)) {
    groups[{origin.service, origin.software}].push_back(key);
  }
  Report(groups);
}

Millis StreamService::SaveInterval() const {
  std::set<ZoneId> zones = {self_.zone};
  for (const auto& [machine, member] : peers_->peers()) {
    zones.insert(member.zone);
  }
  size_t savers = 0;
  for (const ZoneId& zone : zones) {
    savers += ReadersOfZone(zone).size();
  }
  return std::min(kMaxSaveInterval,
                  kSaveIntervalPerSaver * static_cast<int64_t>(savers));
}

// Searches.

std::vector<MachineId> StreamService::WhomToAsk() const {
  std::vector<MachineId> machines;
  if (peers_->peers().size() <= kMaxAskedOfAll) {
    for (const auto& [machine, member] : peers_->peers()) {
      machines.push_back(machine);
    }
    return machines;
  }
  std::set<ZoneId> zones;
  for (const auto& [machine, member] : peers_->peers()) {
    zones.insert(member.zone);
  }
  for (const ZoneId& zone : zones) {
    for (const ClusterMember& reader : ReadersOfZone(zone)) {
      if (reader.machine != self_.machine) {
        machines.push_back(reader.machine);
      }
    }
  }
  return machines;
}

void StreamService::Find(const RequestId& began_as, const ServiceId& service,
                         std::function<void(const StreamFinding&)> done) {
  const StreamKey key = began_as.empty() ? StreamKey{} : StreamKeyOf(began_as);
  std::optional<StreamOrigin> origin = origins_.Find(key, EventLoop::Now());
  if (origin) {
    done({origin->service, origin->software});
  } else {
    search_.Start(key, service, std::move(done));
  }
}

void StreamService::OnQuestion(const MachineId& from,
                               const schema::StreamQuestion& question) {
  schema::PeerItem item;
  schema::StreamAnswer* answer = item.mutable_stream_answer();
  answer->set_nonce(question.nonce());
  std::optional<StreamOrigin> origin =
      origins_.Find(StreamKey{question.stream()}, EventLoop::Now());
  answer->set_known(origin.has_value());
  if (origin) {
    answer->set_service(origin->service.str());
    answer->set_software(origin->software.str());
  }
  for (const SoftwareVersion& version :
       served_.VersionsOf(ServiceId(question.service()))) {
    answer->add_served(version.str());
  }
  peers_->Send(from, std::move(item));
}

void StreamService::OnAnswer(const MachineId& from,
                             const schema::StreamAnswer& answer) {
  search_.OnAnswer(from, answer);
}

}  // namespace bilberrypitch
