// Compiles chunks into lookup tables.
#include "config/catalog.h"

#include <algorithm>
#include <charconv>

#include "base/hash.h"
#include "config/keys.h"
#include "schema/document.pb.h"

namespace bilberrypitch {
namespace {

constexpr uint32_t kAdapterSlots = 4;
constexpr uint32_t kBatchSlots = 8;
constexpr double kLoadsPerSecond = 2;
constexpr uint32_t kLoadsInFlight = 8;

UpstreamEntry ToEntry(const schema::Upstream& it) {
  UpstreamEntry entry;
  entry.id = UpstreamId(it.name());
  entry.zone = ZoneId(it.zone());
  entry.pool = PoolId(it.pool());
  entry.kind = it.kind() == schema::Upstream::ENGINE ? UpstreamKind::kEngine
                                                     : UpstreamKind::kService;
  entry.address = it.address();
  entry.adapter_slots =
      it.has_adapter_slots() ? it.adapter_slots() : kAdapterSlots;
  entry.batch_slots = it.has_batch_slots() ? it.batch_slots() : kBatchSlots;
  entry.leaving = it.leaving();
  return entry;
}

FleetEntry ToEntry(const schema::Fleet& it) {
  FleetEntry entry;
  for (const schema::Zone& zone : it.zones()) {
    entry.zones.push_back({ZoneId(zone.name()), zone.slots()});
  }
  entry.loads_per_s = it.has_loads_per_s() ? it.loads_per_s() : kLoadsPerSecond;
  entry.loads_in_flight =
      it.has_loads_in_flight() ? it.loads_in_flight() : kLoadsInFlight;
  return entry;
}

}  // namespace

std::shared_ptr<const Catalog> Catalog::Build(const schema::Head& head,
                                              const ChunkBytes& chunks,
                                              const Catalog* previous) {
  auto catalog = std::make_shared<Catalog>();
  catalog->generation_ = head.generation();
  for (const schema::ChunkRef& ref : head.chunks()) {
    if (!catalog->AddSection(ref, chunks, previous)) {
      return nullptr;
    }
  }
  return catalog;
}

bool Catalog::AddSection(const schema::ChunkRef& ref, const ChunkBytes& chunks,
                         const Catalog* previous) {
  bool is_adapters = ref.section() == "adapters";
  bool is_bucketed = is_adapters || ref.section() == "keys";
  Buckets& buckets = is_adapters ? adapters_ : keys_;
  if (is_bucketed && previous != nullptr) {
    const Buckets& old = is_adapters ? previous->adapters_ : previous->keys_;
    if (auto same = FindBucket(old, ref.bucket(), ref.hash())) {
      buckets.push_back(std::move(same));
      return true;
    }
  }
  auto it = chunks.find(ref.hash());
  schema::Document part;
  if (it == chunks.end() || !ParseChunk(ref, it->second, &part)) {
    return false;
  }
  if (is_bucketed) {
    buckets.push_back(BuildBucket(ref.hash(), part));
  } else {
    AddPlain(part);
  }
  return true;
}

std::shared_ptr<const Catalog::Bucket> Catalog::FindBucket(
    const Buckets& buckets, size_t i, const std::string& hash) {
  if (i < buckets.size() && buckets[i]->hash == hash) {
    return buckets[i];
  }
  return nullptr;
}

std::shared_ptr<const Catalog::Bucket> Catalog::BuildBucket(
    const std::string& hash, const schema::Document& part) {
  auto bucket = std::make_shared<Bucket>();
  bucket->hash = hash;
  for (const schema::Adapter& it : part.adapters()) {
    AdapterRecord record;
    record.workspace = WorkspaceId(it.workspace());
    record.pool = PoolId(it.pool());
    record.current = it.current_version();
    for (const schema::AdapterVersion& version : it.versions()) {
      record.sources[version.number()] = version.source();
    }
    bucket->adapters.emplace(it.name(), std::move(record));
  }
  for (const schema::Key& it : part.keys()) {
    bucket->keys.emplace(
        it.id(), KeyRecord{WorkspaceId(it.workspace()), it.salt(), it.hash(),
                           it.withdrawn()});
  }
  return bucket;
}

void Catalog::AddPlain(const schema::Document& part) {
  for (const schema::Workspace& it : part.workspaces()) {
    WorkspaceId id(it.name());
    workspaces_[id] = {id, it.rate_tokens_per_s(), it.burst_tokens(),
                       it.has_weight() ? it.weight() : 1.0};
  }
  for (const schema::Route& it : part.routes()) {
    routes_[it.name()] = {it.name(), PoolId(it.pool()), it.open(),
                          it.idempotent(), it.cost_tokens()};
  }
  for (const schema::Upstream& it : part.upstreams()) {
    upstreams_.push_back(ToEntry(it));
  }
  if (part.has_fleet()) {
    fleet_ = ToEntry(part.fleet());
  }
}

const Catalog::AdapterRecord* Catalog::FindAdapter(
    const std::string& name) const {
  if (adapters_.empty()) {
    return nullptr;
  }
  const Bucket& bucket = *adapters_[StableHash(name) % adapters_.size()];
  auto it = bucket.adapters.find(name);
  return it == bucket.adapters.end() ? nullptr : &it->second;
}

const Catalog::KeyRecord* Catalog::FindKey(std::string_view id) const {
  if (keys_.empty()) {
    return nullptr;
  }
  const Bucket& bucket = *keys_[StableHash(id) % keys_.size()];
  auto it = bucket.keys.find(std::string(id));
  return it == bucket.keys.end() ? nullptr : &it->second;
}

std::optional<ResolvedAdapter> Catalog::Resolve(std::string_view model) const {
  std::string_view name = model;
  uint32_t number = 0;
  size_t at = model.rfind('@');
  if (at != std::string_view::npos) {
    name = model.substr(0, at);
    const char* end = model.data() + model.size();
    auto [stop, ec] = std::from_chars(model.data() + at + 1, end, number);
    if (ec != std::errc() || stop != end || number == 0) {
      return std::nullopt;
    }
  }
  const AdapterRecord* record = FindAdapter(std::string(name));
  if (record == nullptr) {
    return std::nullopt;
  }
  number = number == 0 ? record->current : number;
  auto it = record->sources.find(number);
  if (it == record->sources.end()) {
    return std::nullopt;
  }
  return ResolvedAdapter{{AdapterId(std::string(name)), number},
                         record->workspace,
                         record->pool,
                         it->second};
}

WorkspaceId Catalog::Authenticate(std::string_view clear_key) const {
  PresentedKey key;
  if (!ParseKey(clear_key, &key)) {
    return {};
  }
  const KeyRecord* record = FindKey(key.id);
  if (record == nullptr) {
    return {};
  }
  bool matches =
      EqualInConstantTime(HashSecret(record->salt, key.secret), record->hash);
  return matches && !record->withdrawn ? record->workspace : WorkspaceId();
}

bool Catalog::KeyInForce(std::string_view key_id) const {
  const KeyRecord* record = FindKey(key_id);
  return record != nullptr && !record->withdrawn;
}

const WorkspaceEntry* Catalog::FindWorkspace(const WorkspaceId& id) const {
  auto it = workspaces_.find(id);
  return it == workspaces_.end() ? nullptr : &it->second;
}

const RouteEntry* Catalog::FindRoute(std::string_view name) const {
  auto it = routes_.find(name);
  return it == routes_.end() ? nullptr : &it->second;
}

const UpstreamEntry* Catalog::FindUpstream(const UpstreamId& id) const {
  for (const UpstreamEntry& it : upstreams_) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

std::vector<std::string> Catalog::AdaptersFor(
    const WorkspaceId& workspace) const {
  std::vector<std::string> names;
  for (const auto& bucket : adapters_) {
    for (const auto& [name, record] : bucket->adapters) {
      if (record.workspace.empty() || record.workspace == workspace) {
        names.push_back(name);
      }
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace bilberrypitch
