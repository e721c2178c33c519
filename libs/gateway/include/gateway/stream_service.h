// Tells at which version of an upstream's software a stream began, also when it
// began at another instance or before a restart of all.
//
// While one version serves, an instance remembers its own streams and the
// record of served versions tells of all others. While there are several, each
// instance also tells some of the readers of its own and of another zone, and
// the former save what they are told in the store, in batches that end with a
// lease.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "serving/ownership.h"
#include "serving/served_versions.h"
#include "serving/store_item.h"
#include "serving/stream_origins.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class PeerMessenger;
struct UpstreamState;
namespace schema {
class StreamAnswer;
class StreamBatchValue;
class StreamNews;
class StreamQuestion;
class StreamsOfVersion;
}  // namespace schema

// Must be used on the event loop's thread only.
class StreamService {
 public:
  struct Hooks {
    // The rank of this instance among all.
    std::function<size_t()> rank;
    // The age of the view of the store.
    std::function<Millis()> view_age;
  };

  StreamService(EventLoop* loop, ClusterStore* store, PeerMessenger* peers,
                const ClusterMember& self, bool is_first_start, Hooks hooks);

  // A stream can't be taken up longer than this after it began.
  void SetTimeToLive(Millis time_to_live);
  void SetLiveVersions(
      std::map<ServiceId, std::set<SoftwareVersion>> live_versions);
  void OnStoreItem(const StoreItem& item);
  void OnFullRead(const std::set<std::string>& keys);
  void OnEra(int64_t era);
  // An upstream is new or restarted.
  void OnUpstreamStarted(const UpstreamState& upstream);

  // Whether a stream may begin at this version of the service.
  bool MayBegin(const ServiceId& service, const SoftwareVersion& version) const;
  // A stream has begun or goes on: its origin's service, version and upstream.
  void OnStream(const RequestId& began_as, StreamOrigin origin);
  // Finds the stream that a caller takes up at `service`. `began_as`: empty if
  // the caller doesn't state it. `done` may be called before the return.
  void Find(const RequestId& began_as, const ServiceId& service,
            std::function<void(const StreamFinding&)> done);

  void OnNews(const schema::StreamNews& news);
  void OnQuestion(const MachineId& from,
                  const schema::StreamQuestion& question);
  void OnAnswer(const MachineId& from, const schema::StreamAnswer& answer);

 private:
  // Streams by where they began.
  using Group = std::pair<ServiceId, SoftwareVersion>;
  using Groups = std::map<Group, std::vector<StreamKey>>;

  struct Search {
    StreamKey key{};
    ServiceId service;
    std::function<void(const StreamFinding&)> done;
    std::vector<MachineId> asked;
    std::set<MachineId> ignorant;  // They don't know the stream.
    // What others hold for possible beside what this instance does.
    std::set<SoftwareVersion> served_elsewhere;
    Millis repeat_at;  // Zero: the question was repeated.
    Millis judged_at;
  };

  void WriteVersions();
  void ScheduleWriteVersions();
  void WriteRecord(const ServiceId& service, VersionRecord record);
  void ReportAll();
  void Report(const Groups& groups);
  void SendNews(const MachineId& to, const Group& group,
                const std::vector<StreamKey>& keys, bool save);
  std::vector<ClusterMember> ReadersOfZone(const ZoneId& zone) const;
  ZoneId NextZone() const;
  std::vector<MachineId> WhomToAsk() const;
  void Keep(const schema::StreamsOfVersion& group);
  void AddUnsaved(const Group& group, StreamKey key);
  void ScheduleSave();
  void Save();
  void SaveBatch();
  void Ask(const Search& search, uint64_t nonce);
  // The answers of others are in, or their time is over.
  void Judge(uint64_t nonce);
  // Reads the records from the store for the searches that wait for them.
  void ReadRecords(const std::string& after_key);
  void OnRecordsRead(bool ok);
  void End(const Search& search, const SoftwareVersion& software) const;
  void CheckSearches();
  void ScheduleSearches();
  Millis SaveInterval() const;
  schema::StreamsOfVersion* AddGroup(schema::StreamBatchValue* batch,
                                     const Group& group) const;

  EventLoop* const loop_;
  ClusterStore* const store_;
  PeerMessenger* const peers_;
  const ClusterMember self_;
  const Hooks hooks_;
  Millis time_to_live_;
  ServedVersions served_;
  StreamOrigins origins_;
  std::set<ServiceId> mixed_;  // Services whose streams are reported.

  Groups unsaved_;
  size_t unsaved_count_ = 0;
  uint64_t last_batch_ = 0;
  int64_t batch_lease_ = 0;  // 0: none.
  Millis batch_lease_until_;
  bool saving_ = false;
  Millis last_save_at_;

  std::map<uint64_t, Search> searches_;  // By nonce.
  uint64_t last_nonce_ = 0;
  // Those that the reading of records will end, and those that came later.
  std::vector<Search> reading_for_;
  std::vector<Search> waiting_for_read_;
  Timer versions_timer_;
  Timer save_timer_;
  Timer search_timer_;
};

}  // namespace bilberrypitch
