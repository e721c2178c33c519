// The document in force, compiled for lookups. Immutable; a new generation is
// a new catalog that shares the buckets that did not change.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/adapter_ref.h"
#include "base/strong.h"
#include "config/chunks.h"

namespace bilberrypitch {

struct WorkspaceEntry {
  WorkspaceId id;
  double rate_tokens_per_s = 0;
  double burst_tokens = 0;
  double weight = 1;
};

enum class UpstreamKind : uint8_t { kEngine, kService };

struct UpstreamEntry {
  UpstreamId id;
  ZoneId zone;
  PoolId pool;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string address;  // IP:port.
  uint32_t adapter_slots = 0;
  uint32_t batch_slots = 0;
  bool leaving = false;
};

struct RouteEntry {
  std::string name;
  PoolId pool;
  bool open = false;
  bool idempotent = false;
  double cost_tokens = 0;
};

struct ZoneEntry {
  ZoneId id;
  uint32_t slots = 1;
};

struct FleetEntry {
  std::vector<ZoneEntry> zones;
  double loads_per_s = 2;
  uint32_t loads_in_flight = 8;
};

struct ResolvedAdapter {
  AdapterVersionRef ref;
  WorkspaceId workspace;  // Empty: every workspace may use it.
  PoolId pool;
  std::string source;  // Where the engine finds the weights.
};

class Catalog {
 public:
  // Null when a chunk is missing or damaged. `previous` may be null.
  static std::shared_ptr<const Catalog> Build(const schema::Head& head,
                                              const ChunkBytes& chunks,
                                              const Catalog* previous);

  uint64_t generation() const { return generation_; }
  // `model` is `NAME` for the current version or `NAME@VERSION`.
  std::optional<ResolvedAdapter> Resolve(std::string_view model) const;
  // The workspace of a key in force; empty when it is unknown or withdrawn.
  WorkspaceId Authenticate(std::string_view clear_key) const;
  bool KeyInForce(std::string_view key_id) const;
  const WorkspaceEntry* FindWorkspace(const WorkspaceId& id) const;
  const RouteEntry* FindRoute(std::string_view name) const;
  const UpstreamEntry* FindUpstream(const UpstreamId& id) const;
  const std::vector<UpstreamEntry>& upstreams() const { return upstreams_; }
  const std::map<WorkspaceId, WorkspaceEntry>& workspaces() const {
    return workspaces_;
  }
  const FleetEntry& fleet() const { return fleet_; }
  // Names of the adapters that a workspace may use, sorted.
  std::vector<std::string> AdaptersFor(const WorkspaceId& workspace) const;

 private:
  struct AdapterRecord {
    WorkspaceId workspace;
    PoolId pool;
    uint32_t current = 0;
    std::map<uint32_t, std::string> sources;  // By version.
  };
  struct KeyRecord {
    WorkspaceId workspace;
    std::string salt;
    std::string hash;
    bool withdrawn = false;
  };
  struct Bucket {
    std::string hash;
    std::unordered_map<std::string, AdapterRecord> adapters;
    std::unordered_map<std::string, KeyRecord> keys;
  };
  using Buckets = std::vector<std::shared_ptr<const Bucket>>;

  static std::shared_ptr<const Bucket> BuildBucket(
      const std::string& hash, const schema::Document& part);
  static std::shared_ptr<const Bucket> FindBucket(const Buckets& buckets,
                                                  size_t i,
                                                  const std::string& hash);
  bool AddSection(const schema::ChunkRef& ref, const ChunkBytes& chunks,
                  const Catalog* previous);
  void AddPlain(const schema::Document& part);
  const AdapterRecord* FindAdapter(const std::string& name) const;
  const KeyRecord* FindKey(std::string_view id) const;

  uint64_t generation_ = 0;
  Buckets adapters_;  // Index: hash of the name modulo size.
  Buckets keys_;
  std::map<WorkspaceId, WorkspaceEntry> workspaces_;
  std::map<std::string, RouteEntry, std::less<>> routes_;
  std::vector<UpstreamEntry> upstreams_;
  FleetEntry fleet_;
};

}  // namespace bilberrypitch
