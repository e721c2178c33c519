// Chunks of a document.
#include "config/chunks.h"

#include <bit>

#include "base/hash.h"
#include "schema/document.pb.h"

namespace bilberrypitch {
namespace {

constexpr size_t kItemsPerBucket = 256;

// A power of two, so that growth doubles the buckets and rarely moves items.
uint32_t BucketCount(size_t items) {
  size_t buckets = (items + kItemsPerBucket - 1) / kItemsPerBucket;
  return static_cast<uint32_t>(std::bit_ceil(buckets == 0 ? 1 : buckets));
}

void AddChunk(const char* section, uint32_t bucket,
              const schema::Document& part, std::vector<Chunk>* chunks) {
  Chunk chunk;
  chunk.section = section;
  chunk.bucket = bucket;
  part.SerializeToString(&chunk.bytes);
  chunk.hash = Sha256Hex(chunk.bytes);
  chunks->push_back(std::move(chunk));
}

// `name_of` gives the name that decides an item's bucket; `add` puts the item
// into the part.
template <typename Items, typename NameOf, typename Add>
void SplitSection(const char* section, const Items& items, NameOf name_of,
                  Add add, std::vector<Chunk>* chunks) {
  uint32_t buckets = BucketCount(static_cast<size_t>(items.size()));
  std::vector<schema::Document> parts(buckets);
  for (const auto& it : items) {
    *add(&parts[StableHash(name_of(it)) % buckets]) = it;
  }
  for (uint32_t i = 0; i < buckets; ++i) {
    AddChunk(section, i, parts[i], chunks);
  }
}

}  // namespace

std::vector<Chunk> SplitDocument(const schema::Document& document) {
  std::vector<Chunk> chunks;
  SplitSection(
      "adapters", document.adapters(),
      [](const schema::Adapter& it) { return it.name(); },
      [](schema::Document* part) { return part->add_adapters(); }, &chunks);
  SplitSection(
      "keys", document.keys(), [](const schema::Key& it) { return it.id(); },
      [](schema::Document* part) { return part->add_keys(); }, &chunks);
  schema::Document part;
  *part.mutable_workspaces() = document.workspaces();
  AddChunk("workspaces", 0, part, &chunks);
  part.Clear();
  *part.mutable_upstreams() = document.upstreams();
  AddChunk("upstreams", 0, part, &chunks);
  part.Clear();
  *part.mutable_routes() = document.routes();
  *part.mutable_fleet() = document.fleet();
  AddChunk("fleet", 0, part, &chunks);
  return chunks;
}

bool ParseChunk(const schema::ChunkRef& ref, const std::string& bytes,
                schema::Document* part) {
  return Sha256Hex(bytes) == ref.hash() && part->ParseFromString(bytes);
}

bool JoinDocument(const schema::Head& head, const ChunkBytes& chunks,
                  schema::Document* document) {
  for (const schema::ChunkRef& ref : head.chunks()) {
    auto it = chunks.find(ref.hash());
    schema::Document part;
    if (it == chunks.end() || !ParseChunk(ref, it->second, &part)) {
      return false;
    }
    document->MergeFrom(part);
  }
  return true;
}

}  // namespace bilberrypitch
