// Decides which generation of the document is in force on this instance.
//
// No I/O: heads and chunks come in as events, from the store or from a peer.
// The generation in force only rises; what is damaged, of a newer schema or
// older is refused and the last good document stays.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/chunks.h"

namespace bilberrypitch {

class Catalog;

enum class HeadVerdict : uint8_t {
  kInForce,      // Compiled and in force now.
  kNeedsChunks,  // Newer; `missing` says what to fetch.
  kNotNewer,     // Known or older.
  kDamaged,      // Can't be read, or a chunk does not match its hash.
  kNewerSchema,  // Written by a newer program.
};

// Where to fetch a chunk: by key from the store, by hash from a peer.
struct MissingChunk {
  std::string hash;
  std::string key;
};

// Not thread-safe; its owner holds the lock.
class ConfigTracker {
 public:
  ConfigTracker();
  ~ConfigTracker();

  HeadVerdict OnHead(const std::string& head_bytes);
  // A chunk whose hash nobody waits for is ignored.
  HeadVerdict OnChunk(const std::string& hash, const std::string& bytes);
  std::vector<MissingChunk> Missing() const;

  // Null until a first document is in force.
  std::shared_ptr<const Catalog> catalog() const { return catalog_; }
  uint64_t generation() const;
  // What a peer may be given of the document in force.
  const std::string& head_bytes() const { return head_bytes_; }
  const ChunkBytes& chunks() const { return chunks_; }

 private:
  HeadVerdict TryInstall();

  // Invariant: all chunks of the head in force are in `chunks_`.
  std::shared_ptr<const Catalog> catalog_;
  std::string head_bytes_;
  ChunkBytes chunks_;
  std::unique_ptr<schema::Head> pending_;  // Newer than the one in force.
  std::string pending_bytes_;
  ChunkBytes pending_chunks_;
};

}  // namespace bilberrypitch
