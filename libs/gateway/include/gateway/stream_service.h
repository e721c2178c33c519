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

#include "gateway/stream_saver.h"
#include "gateway/stream_search.h"
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
    // The age of the view of the store, which has all records up to then.
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
  StreamSearch::Hooks SearchHooks();
  void WriteVersions();
  void ScheduleWriteVersions();
  void WriteRecord(const ServiceId& service, VersionRecord record);
  void ReportAll();
  void Report(const StreamGroups& groups);
  void SendNews(const MachineId& to, const StreamGroup& group,
                const std::vector<StreamKey>& keys, bool save);
  std::vector<ClusterMember> ReadersOfZone(const ZoneId& zone) const;
  ZoneId NextZone() const;
  std::vector<MachineId> WhomToAsk() const;
  void Keep(const schema::StreamsOfVersion& group);
  Millis SaveInterval() const;

  ClusterStore* const store_;
  PeerMessenger* const peers_;
  const ClusterMember self_;
  const Hooks hooks_;
  Millis time_to_live_;
  ServedVersions served_;
  StreamOrigins origins_;
  std::set<ServiceId> mixed_;  // Services whose streams are reported.

  StreamSaver saver_;
  StreamSearch search_;
  Timer versions_timer_;
};

}  // namespace bilberrypitch
