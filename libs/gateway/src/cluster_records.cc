// Keys and values of the member and owner records.
#include "gateway/cluster_records.h"

#include <fmt/format.h>

#include <charconv>

#include "gateway/known_items.h"
#include "gateway/value_packing.h"
#include "schema/cluster.pb.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kClusterKeyPrefix = "bilberrypitch/";
constexpr std::string_view kMemberKeyPrefix = "bilberrypitch/members/";
constexpr std::string_view kOwnerKeyPrefix = "bilberrypitch/owners/";
constexpr std::string_view kPartKeyPrefix = "bilberrypitch/parts/";
constexpr std::string_view kKeptConfigKey = "bilberrypitch/config";
constexpr std::string_view kStreamRecordsPrefix = "bilberrypitch/streams/";
constexpr std::string_view kStreamsKeyPrefix = "bilberrypitch/streams/batch/";
constexpr std::string_view kVersionsKeyPrefix =
    "bilberrypitch/streams/versions/";
constexpr int kHexBase = 16;

// Returns the rest of `key` after `prefix`; empty if it starts differently.
std::string StripPrefix(const std::string& key, std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size()) : "";
}

}  // namespace

bool IsClusterKey(const std::string& key) {
  return key.starts_with(kClusterKeyPrefix);
}

std::string MemberKeyPrefix(const ZoneId& zone) {
  return std::string(kMemberKeyPrefix) + zone.str() + "/";
}

std::string MemberKey(const ClusterMember& member) {
  return MemberKeyPrefix(member.zone) + member.machine.str();
}

std::string OwnerKey(const ResourceId& resource) {
  return std::string(kOwnerKeyPrefix) + resource.str();
}

std::string KeptConfigKey() { return std::string(kKeptConfigKey); }

std::string EncodeKeptConfig(const StoreItem& config_item) {
  schema::KnownItem encoded;
  PackedValueCache cache;
  EncodeItem(config_item, &cache, &encoded);
  return encoded.SerializeAsString();
}

std::string QuarantinedPartKey(PartId part) {
  return fmt::format("{}{:x}", kPartKeyPrefix, static_cast<uint64_t>(part));
}

std::string EncodeQuarantinedPart(const MachineId& declared_by) {
  schema::QuarantinedPart record;
  record.set_machine(declared_by.str());
  return record.SerializeAsString();
}

std::string StreamRecordsPrefix() { return std::string(kStreamRecordsPrefix); }

std::string ServedVersionsKey(const ServiceId& service) {
  return std::string(kVersionsKeyPrefix) + service.str();
}

std::string EncodeServedVersions(const VersionRecord& record) {
  schema::ServedVersionsValue value;
  for (const SoftwareVersion& version : record.active) {
    value.add_versions(version.str());
  }
  for (const SoftwareVersion& version : record.retired) {
    value.add_retired(version.str());
  }
  value.set_era(record.era);
  return value.SerializeAsString();
}

std::string StreamBatchKey(const ClusterMember& writer, uint64_t number) {
  return fmt::format("{}{}/{}-{}", kStreamsKeyPrefix, writer.machine.str(),
                     writer.boot.str(), number);
}

bool IsStreamBatchKey(const std::string& key) {
  return key.starts_with(kStreamsKeyPrefix);
}

std::optional<ServiceId> ServiceFromVersionsKey(const std::string& key) {
  std::string rest = StripPrefix(key, kVersionsKeyPrefix);
  return rest.empty() ? std::nullopt : std::optional(ServiceId(rest));
}

std::optional<VersionRecord> DecodeServedVersions(const StoreItem& item) {
  schema::ServedVersionsValue value;
  if (item.deleted || !value.ParseFromString(item.value)) {
    return std::nullopt;
  }
  VersionRecord record;
  for (const std::string& version : value.versions()) {
    record.active.insert(SoftwareVersion(version));
  }
  for (const std::string& version : value.retired()) {
    record.retired.insert(SoftwareVersion(version));
  }
  record.era = value.era();
  record.revision = item.revision;
  return record;
}

std::string EncodeMember(const ClusterMember& member) {
  schema::MemberRecord record;
  record.set_machine(member.machine.str());
  record.set_boot(member.boot.str());
  record.set_zone(member.zone.str());
  record.set_address(member.address);
  record.set_cpu_share(member.cpu_share);
  return record.SerializeAsString();
}

std::string EncodeOwner(const ClusterMember& owner, bool takeover_complete) {
  schema::OwnerValue value;
  value.set_machine(owner.machine.str());
  value.set_boot(owner.boot.str());
  value.set_settled(takeover_complete);
  return value.SerializeAsString();
}

MachineId MachineFromMemberKey(const std::string& key) {
  std::string rest = StripPrefix(key, kMemberKeyPrefix);
  size_t slash = rest.rfind('/');
  return MachineId(slash == std::string::npos ? "" : rest.substr(slash + 1));
}

ResourceId ResourceFromOwnerKey(const std::string& key) {
  return ResourceId(StripPrefix(key, kOwnerKeyPrefix));
}

std::optional<PartId> PartFromKey(const std::string& key) {
  std::string rest = StripPrefix(key, kPartKeyPrefix);
  uint64_t part = 0;
  const char* end = rest.data() + rest.size();
  auto parsed = std::from_chars(rest.data(), end, part, kHexBase);
  if (rest.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return PartId{part};
}

std::optional<StoreItem> DecodeKeptConfig(const StoreItem& item) {
  schema::KnownItem encoded;
  if (item.deleted || !encoded.ParseFromString(item.value)) {
    return std::nullopt;
  }
  return DecodeItem(encoded);
}

std::optional<ClusterMember> DecodeMember(const StoreItem& item) {
  schema::MemberRecord record;
  if (!record.ParseFromString(item.value) || record.machine().empty()) {
    return std::nullopt;
  }
  return ClusterMember{MachineId(record.machine()), BootId(record.boot()),
                       ZoneId(record.zone()), record.address(),
                       record.cpu_share()};
}

std::optional<OwnerRecord> DecodeOwner(const StoreItem& item) {
  schema::OwnerValue value;
  if (!value.ParseFromString(item.value) || value.machine().empty()) {
    return std::nullopt;
  }
  return OwnerRecord{MachineId(value.machine()), BootId(value.boot()),
                     item.revision, item.lease, value.settled()};
}

}  // namespace bilberrypitch
