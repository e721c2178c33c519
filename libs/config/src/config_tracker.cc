// The generation in force.
#include "config/config_tracker.h"

#include "base/check.h"
#include "base/hash.h"
#include "config/catalog.h"
#include "config/document_check.h"
#include "schema/document.pb.h"

namespace bilberrypitch {

ConfigTracker::ConfigTracker() = default;
ConfigTracker::~ConfigTracker() = default;

uint64_t ConfigTracker::generation() const {
  return catalog_ == nullptr ? 0 : catalog_->generation();
}

HeadVerdict ConfigTracker::OnHead(const std::string& head_bytes) {
  auto head = std::make_unique<schema::Head>();
  if (!head->ParseFromString(head_bytes) || head->generation() == 0 ||
      head->chunks().empty()) {
    return HeadVerdict::kDamaged;
  }
  if (head->schema_version() > kSchemaVersion) {
    return HeadVerdict::kNewerSchema;
  }
  uint64_t newest = pending_ == nullptr ? generation() : pending_->generation();
  if (head->generation() <= newest && newest != 0) {
    bool pending_again = pending_ != nullptr && head->generation() == newest;
    return pending_again ? HeadVerdict::kNeedsChunks : HeadVerdict::kNotNewer;
  }
  pending_ = std::move(head);
  pending_bytes_ = head_bytes;
  ChunkBytes kept;
  for (const schema::ChunkRef& ref : pending_->chunks()) {
    auto it = pending_chunks_.find(ref.hash());
    if (it != pending_chunks_.end()) {
      kept.insert(*it);
    }
  }
  pending_chunks_ = std::move(kept);
  return TryInstall();
}

HeadVerdict ConfigTracker::OnChunk(const std::string& hash,
                                   const std::string& bytes) {
  if (pending_ == nullptr) {
    return HeadVerdict::kNotNewer;
  }
  if (Sha256Hex(bytes) != hash) {
    return HeadVerdict::kDamaged;
  }
  for (const schema::ChunkRef& ref : pending_->chunks()) {
    if (ref.hash() == hash) {
      pending_chunks_[hash] = bytes;
      return TryInstall();
    }
  }
  return HeadVerdict::kNotNewer;
}

std::vector<MissingChunk> ConfigTracker::Missing() const {
  std::vector<MissingChunk> missing;
  if (pending_ == nullptr) {
    return missing;
  }
  for (const schema::ChunkRef& ref : pending_->chunks()) {
    if (chunks_.count(ref.hash()) == 0 &&
        pending_chunks_.count(ref.hash()) == 0) {
      missing.push_back({ref.hash(), ref.key()});
    }
  }
  return missing;
}

HeadVerdict ConfigTracker::TryInstall() {
  if (!Missing().empty()) {
    return HeadVerdict::kNeedsChunks;
  }
  ChunkBytes all;
  for (const schema::ChunkRef& ref : pending_->chunks()) {
    auto fresh = pending_chunks_.find(ref.hash());
    all[ref.hash()] = fresh != pending_chunks_.end()
                          ? fresh->second
                          : chunks_.find(ref.hash())->second;
  }
  auto catalog = Catalog::Build(*pending_, all, catalog_.get());
  if (catalog == nullptr) {
    pending_.reset();
    pending_chunks_.clear();
    return HeadVerdict::kDamaged;
  }
  BP_CHECK(catalog->generation() > generation(),
           "the generation in force only rises");
  catalog_ = std::move(catalog);
  chunks_ = std::move(all);
  head_bytes_ = std::move(pending_bytes_);
  pending_.reset();
  pending_chunks_.clear();
  return HeadVerdict::kInForce;
}

}  // namespace bilberrypitch
