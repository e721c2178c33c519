// Store records in messages between instances.
#pragma once

#include <optional>
#include <string>

#include "serving/store_call.h"

namespace bilberrypitch {

namespace schema {
class KnownItem;
}  // namespace schema

void EncodeItem(const StoreItem& item, schema::KnownItem* encoded);
StoreItem DecodeItem(const schema::KnownItem& encoded);

std::string EncodeChanges(const StoreChanges& changes);
// Returns no value if `bytes` are not a valid message.
std::optional<StoreChanges> DecodeChanges(const std::string& bytes);

}  // namespace bilberrypitch
