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
// The lease of batches; they are given another one after half of it.
constexpr Millis kMaxBatchLease{10 * 60 * 1000};
constexpr size_t kMaxUnsaved = 50'000;
// All instances are asked for a stream up to this number, readers beyond it.
constexpr size_t kMaxAskedOfAll = 16;
// A question is repeated once, and its answers are awaited for this long.
constexpr Millis kRepeatTime{60};
constexpr Millis kSearchTime{180};
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
    : loop_(loop),
      store_(store),
      peers_(peers),
      self_(self),
      hooks_(std::move(hooks)),
      time_to_live_(kDefaultTimeToLive),
      served_(kDefaultTimeToLive + kMaxEntryDelay, is_first_start),
      versions_timer_(loop),
      save_timer_(loop),
      search_timer_(loop) {}

void StreamService::SetTimeToLive(Millis time_to_live) {
  time_to_live_ = std::max(time_to_live, kDefaultTimeToLive);
  served_.SetTimeToLive(time_to_live_ + kMaxEntryDelay);
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
  batch_lease_ = 0;
  for (const ServiceId& service : mixed_) {
    for (const auto& [key, origin] : origins_.All(service, EventLoop::Now())) {
      AddUnsaved({service, origin.software}, key);
    }
  }
  ScheduleWriteVersions();
  ScheduleSave();
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
  const Group group{origin.service, origin.software};
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
    Groups groups;
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

void StreamService::Report(const Groups& groups) {
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

void StreamService::SendNews(const MachineId& to, const Group& group,
                             const std::vector<StreamKey>& keys, bool save) {
  if (to == self_.machine) {
    for (StreamKey key : keys) {
      if (save) {
        AddUnsaved(group, key);
      }
    }
    ScheduleSave();
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
  const Group group{ServiceId(news.group().service()),
                    SoftwareVersion(news.group().software())};
  for (uint64_t number : news.group().streams()) {
    AddUnsaved(group, StreamKey{number});
  }
  ScheduleSave();
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
  Groups groups;
  for (const auto& [key, origin] :
       origins_.Doubt(upstream.entry.id, upstream.entry.software,
                      EventLoop::Now() - kMaxEntryDelay)) {
    groups[{origin.service, origin.software}].push_back(key);
  }
  Report(groups);
}

// Batches in the store.

void StreamService::AddUnsaved(const Group& group, StreamKey key) {
  if (unsaved_count_ < kMaxUnsaved) {
    unsaved_[group].push_back(key);
    ++unsaved_count_;
  }
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

void StreamService::ScheduleSave() {
  if (!saving_ && unsaved_count_ > 0) {
    saving_ = true;
    Millis due = last_save_at_ + SaveInterval();
    save_timer_.Start(std::max(Millis(1), due - EventLoop::Now()),
                      [this] { Save(); });
  }
}

void StreamService::Save() {
  Millis now = EventLoop::Now();
  last_save_at_ = now;
  if (batch_lease_ != 0 && now < batch_lease_until_) {
    SaveBatch();
    return;
  }
  Millis lease_time = std::min(time_to_live_ * 2, kMaxBatchLease);
  store_->GrantLease(lease_time, [this](const StoreLeaseResult& result) {
    saving_ = false;
    if (result.outcome != StoreOutcome::kOk) {
      ScheduleSave();
      return;
    }
    batch_lease_ = result.lease;
    batch_lease_until_ =
        EventLoop::Now() + Millis(result.time_to_live.count() / 2);
    saving_ = true;
    SaveBatch();
  });
}

schema::StreamsOfVersion* StreamService::AddGroup(
    schema::StreamBatchValue* batch, const Group& group) const {
  schema::StreamsOfVersion* added = batch->add_groups();
  added->set_service(group.first.str());
  added->set_software(group.second.str());
  added->set_time_left_ms(time_to_live_.count());
  return added;
}

void StreamService::SaveBatch() {
  schema::StreamBatchValue batch;
  Groups groups = std::exchange(unsaved_, {});
  unsaved_count_ = 0;
  for (const auto& [group, keys] : groups) {
    schema::StreamsOfVersion* added = AddGroup(&batch, group);
    for (StreamKey key : keys) {
      added->add_streams(ToNumber(key));
    }
  }
  StoreTransaction transaction;
  transaction.writes.push_back({StreamBatchKey(self_, ++last_batch_),
                                batch.SerializeAsString(), batch_lease_});
  store_->Commit(std::move(transaction), [this, groups = std::move(groups)](
                                             const StoreCommitResult& result) {
    saving_ = false;
    if (result.outcome == StoreOutcome::kLeaseNotFound) {
      batch_lease_ = 0;
    }
    if (result.outcome != StoreOutcome::kOk) {
      for (const auto& [group, keys] : groups) {
        for (StreamKey key : keys) {
          AddUnsaved(group, key);
        }
      }
    }
    ScheduleSave();
  });
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
  Millis now = EventLoop::Now();
  const StreamKey key = StreamKeyOf(began_as);
  std::optional<StreamOrigin> origin =
      began_as.empty() ? std::nullopt : origins_.Find(key, now);
  if (origin) {
    done({origin->service, origin->software});
    return;
  }
  Search search;
  search.key = began_as.empty() ? StreamKey{} : key;
  search.service = service;
  search.done = std::move(done);
  search.asked = WhomToAsk();
  search.repeat_at = now + kRepeatTime;
  search.judged_at = now + kSearchTime;
  const uint64_t nonce = ++last_nonce_;
  const bool alone = search.asked.empty();
  Ask(search, nonce);
  searches_.emplace(nonce, std::move(search));
  if (alone) {
    Judge(nonce);
  } else {
    ScheduleSearches();
  }
}

void StreamService::Ask(const Search& search, uint64_t nonce) {
  schema::PeerItem item;
  item.mutable_stream_question()->set_nonce(nonce);
  item.mutable_stream_question()->set_stream(ToNumber(search.key));
  item.mutable_stream_question()->set_service(search.service.str());
  for (const MachineId& machine : search.asked) {
    peers_->Send(machine, item);
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
  auto it = searches_.find(answer.nonce());
  if (it == searches_.end()) {
    return;
  }
  Search& search = it->second;
  if (answer.known()) {
    auto done = std::move(search.done);
    searches_.erase(it);
    done({ServiceId(answer.service()), SoftwareVersion(answer.software())});
    return;
  }
  search.ignorant.insert(from);
  for (const std::string& version : answer.served()) {
    search.served_elsewhere.insert(SoftwareVersion(version));
  }
  if (search.ignorant.size() >= search.asked.size()) {
    Judge(answer.nonce());
  }
}

// Nobody who was asked knows the stream: it is of the only version that there
// has been, if that is certain, or the store knows more.
void StreamService::Judge(uint64_t nonce) {
  auto node = searches_.extract(nonce);
  Search& search = node.mapped();
  std::optional<SoftwareVersion> only = served_.OnlyVersion(search.service);
  bool is_isolated = !search.asked.empty() && search.ignorant.empty();
  bool is_certain = only && !is_isolated && hooks_.view_age() <= kMaxViewAge;
  for (const SoftwareVersion& version : search.served_elsewhere) {
    is_certain = is_certain && version == *only;
  }
  if (is_certain) {
    End(search, *only);
    return;
  }
  waiting_for_read_.push_back(std::move(search));
  if (reading_for_.empty()) {
    reading_for_ = std::exchange(waiting_for_read_, {});
    ReadRecords("");
  }
}

void StreamService::ReadRecords(const std::string& after_key) {
  store_->ReadPage(StreamRecordsPrefix(), after_key,
                   [this](const StorePage& page) {
                     for (const StoreItem& item : page.items) {
                       OnStoreItem(item);
                     }
                     bool ok = page.outcome == StoreOutcome::kOk;
                     if (ok && page.more && !page.items.empty()) {
                       ReadRecords(page.items.back().key);
                     } else {
                       OnRecordsRead(ok);
                     }
                   });
}

void StreamService::OnRecordsRead(bool ok) {
  Millis now = EventLoop::Now();
  for (const Search& search : std::exchange(reading_for_, {})) {
    std::optional<StreamOrigin> origin = origins_.Find(search.key, now);
    std::optional<SoftwareVersion> only = served_.OnlyVersion(search.service);
    if (origin && origin->service == search.service) {
      End(search, origin->software);
    } else if (ok && only) {
      End(search, *only);
    } else {
      End(search, SoftwareVersion());
    }
  }
  if (!waiting_for_read_.empty()) {
    reading_for_ = std::exchange(waiting_for_read_, {});
    ReadRecords("");
  }
}

void StreamService::End(const Search& search,
                        const SoftwareVersion& software) const {
  LogInfo("request",
          "Stream of service={} is not known to {} of {}, versions={} "
          "age_ms={} taken_for={}.",
          search.service.str(), search.ignorant.size(), search.asked.size(),
          served_.VersionsOf(search.service).size(), hooks_.view_age().count(),
          software.str());
  search.done({search.service, software});
}

void StreamService::ScheduleSearches() {
  Millis next;
  for (const auto& [nonce, search] : searches_) {
    Millis due =
        search.repeat_at != Millis(0) ? search.repeat_at : search.judged_at;
    if (next == Millis(0) || due < next) {
      next = due;
    }
  }
  if (next != Millis(0)) {
    search_timer_.Start(std::max(Millis(1), next - EventLoop::Now()),
                        [this] { CheckSearches(); });
  }
}

void StreamService::CheckSearches() {
  Millis now = EventLoop::Now();
  std::vector<uint64_t> due;
  for (auto& [nonce, search] : searches_) {
    if (search.repeat_at != Millis(0) && now >= search.repeat_at) {
      search.repeat_at = Millis(0);
      Ask(search, nonce);
    } else if (now >= search.judged_at) {
      due.push_back(nonce);
    }
  }
  for (uint64_t nonce : due) {
    Judge(nonce);
  }
  ScheduleSearches();
}

}  // namespace bilberrypitch
