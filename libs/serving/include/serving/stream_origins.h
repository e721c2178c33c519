// At which version of an upstream's software each open stream began.
//
// A stream is named by the request that brought its first event. Streams are
// forgotten when they can't be taken up any more; one that isn't known is of no
// version, never of the one that happens to serve.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// A hash of the request's id.
enum class StreamKey : uint64_t {};
StreamKey StreamKeyOf(const RequestId& id);

// Where a stream began.
struct StreamOrigin {
  ServiceId service;
  SoftwareVersion software;  // Empty: not known.
  Millis expires_at;         // It can't be taken up later.
  // Empty if another instance has told of it.
  UpstreamId upstream;
  int64_t upstream_started_ms = 0;
  Millis begun_at;
};

// What can be said of a stream that a caller takes up.
struct StreamFinding {
  ServiceId service;
  // Empty: it isn't known, or may be any of several.
  SoftwareVersion software;
};

class StreamOrigins {
 public:
  // The oldest are forgotten beyond this number.
  static constexpr size_t kMaxStreams = 200'000;

  void Add(StreamKey key, StreamOrigin origin, Millis now);
  std::optional<StreamOrigin> Find(StreamKey key, Millis now) const;
  // It need not be returned by TakeUnreported.
  void SetReported(StreamKey key);
  // All streams of the service.
  std::vector<std::pair<StreamKey, StreamOrigin>> All(const ServiceId& service,
                                                      Millis now) const;
  // Streams of the service that began here and have not been returned before.
  std::vector<std::pair<StreamKey, StreamOrigin>> TakeUnreported(
      const ServiceId& service, Millis now);
  // The upstream has turned out to have started anew, in another version than
  // was known when its latest streams began, since `since`. Their versions are
  // not known. Returns them.
  std::vector<std::pair<StreamKey, StreamOrigin>> Doubt(
      const UpstreamId& id, const SoftwareVersion& software, Millis since);
  size_t size() const { return streams_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    bool reported = false;
  };

  void Expire(Millis now);

  std::unordered_map<uint64_t, Entry> streams_;
  std::multimap<Millis, uint64_t> by_expiry_;
};

}  // namespace bilberrypitch
