// Store records in messages between instances.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "serving/store_call.h"

namespace bilberrypitch {

class PackedValueCache;
namespace schema {
class KnownItem;
}  // namespace schema

// A revision in a message is one integer, the era above the number, so that
// integers compare as revisions do. Without an era it is the number.
int64_t EncodeRevision(StoreRevision revision);
StoreRevision DecodeRevision(int64_t encoded);

// `cache`: packs large values; null: they are not packed.
void EncodeItem(const StoreItem& item, PackedValueCache* cache,
                schema::KnownItem* encoded);
// Returns nothing if its value is packed and can't be unpacked.
std::optional<StoreItem> DecodeItem(const schema::KnownItem& encoded);

std::string EncodeChanges(const StoreChanges& changes, PackedValueCache* cache);
// Returns no value if `bytes` are not a valid message.
std::optional<StoreChanges> DecodeChanges(const std::string& bytes);

}  // namespace bilberrypitch
