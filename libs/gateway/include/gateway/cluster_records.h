// The program's own keys in the platform's store.
#pragma once

#include <optional>
#include <string>

#include "serving/ownership.h"
#include "serving/store_item.h"

namespace bilberrypitch {

std::string MemberKey(const MachineId& machine);
std::string OwnerKey(const ResourceId& duty);
std::string EncodeMember(const ClusterMember& member);
std::string EncodeOwner(const ClusterMember& owner, bool settled);

// The machine or duty that a key is about; empty: another kind of key.
MachineId MachineFromMemberKey(const std::string& key);
ResourceId ResourceFromOwnerKey(const std::string& key);
// None when the value can't be read.
std::optional<ClusterMember> DecodeMember(const StoreItem& item);
std::optional<OwnerRecord> DecodeOwner(const StoreItem& item);

}  // namespace bilberrypitch
