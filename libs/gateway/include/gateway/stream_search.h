// Finds the origin of a stream that a caller takes up: asks other instances,
// and then the store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "serving/ids.h"
#include "serving/store_item.h"
#include "serving/stream_origins.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
class PeerMessenger;
namespace schema {
class StreamAnswer;
}

// Must be used on the event loop's thread only.
class StreamSearch {
 public:
  struct Hooks {
    // The instances to ask.
    std::function<std::vector<MachineId>()> whom_to_ask;
    // What this instance knows of the stream.
    std::function<std::optional<StreamOrigin>(StreamKey)> known;
    // The only version of which a stream of the service can be.
    std::function<std::optional<SoftwareVersion>(const ServiceId&)>
        only_version;
    // The age of the view of the store, which has all records up to then.
    std::function<Millis()> view_age;
    // A record of streams or versions was read.
    std::function<void(const StoreItem&)> apply;
  };
  using Done = std::function<void(const StreamFinding&)>;

  StreamSearch(EventLoop* loop, ClusterStore* store, PeerMessenger* peers,
               Hooks hooks);

  // Finds a stream that this instance doesn't know.
  void Start(StreamKey key, const ServiceId& service, Done done);
  void OnAnswer(const MachineId& from, const schema::StreamAnswer& answer);

 private:
  struct Search {
    StreamKey key{};
    ServiceId service;
    Done done;
    std::vector<MachineId> asked;
    std::set<MachineId> ignorant;  // They don't know the stream.
    // What others hold for possible beside what this instance does.
    std::set<SoftwareVersion> served_elsewhere;
    Millis started_at;
    Millis repeat_at;  // Zero: the question was repeated.
    Millis judged_at;
  };

  void Ask(const Search& search, uint64_t nonce);
  // The answers of others are in, or their time is over.
  void Judge(uint64_t nonce);
  // Reads the records from the store for the searches that wait for them.
  void ReadRecords(const std::string& after_key);
  void OnRecordsRead(bool ok);
  void End(const Search& search, const SoftwareVersion& software) const;
  void CheckTimes();
  void ScheduleCheck();

  ClusterStore* const store_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  std::map<uint64_t, Search> searches_;  // By nonce.
  uint64_t last_nonce_ = 0;
  // Those that the reading of records will end, and those that came later.
  std::vector<Search> reading_for_;
  std::vector<Search> waiting_for_read_;
  Timer timer_;
};

}  // namespace bilberrypitch
