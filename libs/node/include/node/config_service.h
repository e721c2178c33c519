// Brings the newest accepted document to this instance: from the store, by
// watch and by reading, and from any peer that has a newer generation.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "base/strong.h"
#include "config/config_tracker.h"
#include "node/node_context.h"

namespace bilberrypitch {

namespace schema {
class ChunkReply;
class ChunkRequest;
}  // namespace schema

// Thread-safe.
class ConfigService {
 public:
  using InForce = std::function<void(std::shared_ptr<const Catalog>)>;

  // `in_force` is called for each new generation, without a lock held.
  ConfigService(const NodeContext& context, InForce in_force);

  // `watches`: this instance is one of the few of its zone that watch.
  void Tick(Millis now, bool watches);
  void OnPeerGeneration(const std::string& peer_address, uint64_t generation,
                        Millis now);
  void OnChunkRequest(const std::string& peer_address,
                      const schema::ChunkRequest& request);
  void OnChunkReply(const std::string& peer_address,
                    const schema::ChunkReply& reply);

  std::shared_ptr<const Catalog> catalog() const;
  uint64_t generation() const;
  // When a read of the head in the store that succeeded was begun.
  Millis store_confirmed() const { return Millis(store_confirmed_.load()); }

 private:
  void CheckHead(Millis now);
  void ReadHead(Millis now);
  void ReadMissing();
  void Verdict(HeadVerdict verdict, const char* source);
  void StartWatch();

  const NodeContext context_;
  const InForce in_force_;
  mutable std::mutex lock_;  // Guards the tracker and the catalog.
  ConfigTracker tracker_;
  std::shared_ptr<const Catalog> catalog_;
  std::atomic<int64_t> next_read_ms_ = 0;
  std::atomic<int64_t> store_confirmed_ = -1;
  // Of the head that was read last and needs no second look.
  std::atomic<int64_t> head_revision_ = 0;
  std::atomic<bool> reading_ = false;
  std::atomic<bool> watching_ = false;
  std::atomic<int64_t> next_watch_ms_ = 0;
  std::atomic<int64_t> next_peer_request_ms_ = 0;
};

}  // namespace bilberrypitch
