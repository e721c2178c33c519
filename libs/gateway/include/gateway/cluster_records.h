// Encodes and decodes the records that the instances themselves keep in the
// platform's store: one for each member, one for each owned resource, one for
// each quarantined prompt part, one for a configuration that the store has
// lost, and those of the versions that began streams.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "serving/ownership.h"
#include "serving/part_crash_tracker.h"
#include "serving/served_versions.h"
#include "serving/store_item.h"

namespace bilberrypitch {

// Whether the instances themselves write this key.
bool IsClusterKey(const std::string& key);
// The keys of all members of a zone start with this.
std::string MemberKeyPrefix(const ZoneId& zone);
std::string MemberKey(const ClusterMember& member);
std::string OwnerKey(const ResourceId& resource);
std::string KeptConfigKey();
// The value is the operator's record.
std::string EncodeKeptConfig(const StoreItem& config_item);
std::string QuarantinedPartKey(PartId part);
std::string EncodeQuarantinedPart(const MachineId& declared_by);
std::string EncodeMember(const ClusterMember& member);
std::string EncodeOwner(const ClusterMember& owner, bool takeover_complete);

// The keys of all records below start with this.
std::string StreamRecordsPrefix();
// One record for each service.
std::string ServedVersionsKey(const ServiceId& service);
std::string EncodeServedVersions(const VersionRecord& record);
// Each batch of streams has a key of its own. They are read by the instances
// that watch the store, and not passed on by them.
std::string StreamBatchKey(const ClusterMember& writer, uint64_t number);
bool IsStreamBatchKey(const std::string& key);

// The machine or resource that a key belongs to; empty for other keys.
MachineId MachineFromMemberKey(const std::string& key);
ResourceId ResourceFromOwnerKey(const std::string& key);
// Returns no value for other keys.
std::optional<PartId> PartFromKey(const std::string& key);
std::optional<ServiceId> ServiceFromVersionsKey(const std::string& key);
// Return no value for a malformed record.
std::optional<StoreItem> DecodeKeptConfig(const StoreItem& item);
std::optional<ClusterMember> DecodeMember(const StoreItem& item);
std::optional<OwnerRecord> DecodeOwner(const StoreItem& item);
std::optional<VersionRecord> DecodeServedVersions(const StoreItem& item);

}  // namespace bilberrypitch
