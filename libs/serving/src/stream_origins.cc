// Implements the table of streams.
#include "serving/stream_origins.h"

#include "base/hash.h"

namespace bilberrypitch {

StreamKey StreamKeyOf(const RequestId& id) {
  return StreamKey{StableHash(id.str())};
}

void StreamOrigins::Add(StreamKey key, StreamOrigin origin, Millis now) {
  Expire(now);
  const auto number = static_cast<uint64_t>(key);
  by_expiry_.emplace(origin.expires_at, number);
  streams_[number] = Entry{std::move(origin), false};
}

void StreamOrigins::Expire(Millis now) {
  while (!by_expiry_.empty() &&
         (by_expiry_.begin()->first <= now || streams_.size() >= kMaxStreams)) {
    auto [expires_at, number] = *by_expiry_.begin();
    by_expiry_.erase(by_expiry_.begin());
    auto it = streams_.find(number);
    // It may have been added again with a later time.
    if (it != streams_.end() && it->second.origin.expires_at == expires_at) {
      streams_.erase(it);
    }
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(StreamKey key,
                                                Millis now) const {
  auto it = streams_.find(static_cast<uint64_t>(key));
  if (it == streams_.end() || it->second.origin.expires_at <= now) {
    return std::nullopt;
  }
  return it->second.origin;
}

std::vector<std::pair<StreamKey, StreamOrigin>> StreamOrigins::TakeUnreported(
    const ServiceId& service, Millis now) {
  std::vector<std::pair<StreamKey, StreamOrigin>> found;
  for (auto& [number, entry] : streams_) {
    bool began_here = !entry.origin.upstream.empty();
    if (began_here && !entry.reported && entry.origin.service == service &&
        entry.origin.expires_at > now) {
      entry.reported = true;
      found.emplace_back(StreamKey{number}, entry.origin);
    }
  }
  return found;
}

std::vector<std::pair<StreamKey, StreamOrigin>> StreamOrigins::Doubt(
    const UpstreamId& id, const SoftwareVersion& software, Millis since) {
  std::vector<std::pair<StreamKey, StreamOrigin>> doubted;
  for (auto& [number, entry] : streams_) {
    StreamOrigin& origin = entry.origin;
    if (origin.upstream == id && origin.software != software &&
        !origin.software.empty() && origin.begun_at >= since) {
      origin.software = SoftwareVersion();
      doubted.emplace_back(StreamKey{number}, origin);
    }
  }
  return doubted;
}

void StreamOrigins::SetReported(StreamKey key) {
  auto it = streams_.find(static_cast<uint64_t>(key));
  if (it != streams_.end()) {
    it->second.reported = true;
  }
}

std::vector<std::pair<StreamKey, StreamOrigin>> StreamOrigins::All(
    const ServiceId& service, Millis now) const {
  std::vector<std::pair<StreamKey, StreamOrigin>> found;
  for (const auto& [number, entry] : streams_) {
    if (entry.origin.service == service && entry.origin.expires_at > now) {
      found.emplace_back(StreamKey{number}, entry.origin);
    }
  }
  return found;
}

}  // namespace bilberrypitch
