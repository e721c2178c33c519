// Conversion between store records and protobuf messages.
#include "gateway/known_items.h"

#include <algorithm>
#include <utility>

#include "gateway/value_packing.h"
#include "schema/cluster.pb.h"

namespace bilberrypitch {
namespace {

constexpr int kWireNumberBits = 48;
constexpr int64_t kMaxWireNumber = (int64_t{1} << kWireNumberBits) - 1;
constexpr int64_t kMaxWireEra = (int64_t{1} << (63 - kWireNumberBits)) - 1;

}  // namespace

int64_t EncodeRevision(StoreRevision revision) {
  int64_t era = std::clamp<int64_t>(revision.era, 0, kMaxWireEra);
  int64_t number = std::clamp<int64_t>(revision.number, 0, kMaxWireNumber);
  return (era << kWireNumberBits) | number;
}

StoreRevision DecodeRevision(int64_t encoded) {
  return {encoded >> kWireNumberBits, encoded & kMaxWireNumber};
}

void EncodeItem(const StoreItem& item, PackedValueCache* cache,
                schema::KnownItem* encoded) {
  encoded->set_key(item.key);
  const std::string* packed = cache != nullptr ? cache->Find(item) : nullptr;
  encoded->set_value(packed != nullptr ? *packed : item.value);
  if (packed != nullptr) {
    encoded->set_unpacked_size(item.value.size());
  }
  encoded->set_revision(EncodeRevision(item.revision));
  encoded->set_lease(item.lease);
  encoded->set_deleted(item.deleted);
}

std::optional<StoreItem> DecodeItem(const schema::KnownItem& encoded) {
  StoreItem item;
  item.key = encoded.key();
  if (encoded.unpacked_size() == 0) {
    item.value = encoded.value();
  } else if (auto value =
                 UnpackValue(encoded.value(), encoded.unpacked_size())) {
    item.value = std::move(*value);
  } else {
    return std::nullopt;
  }
  item.revision = DecodeRevision(encoded.revision());
  item.lease = encoded.lease();
  item.deleted = encoded.deleted();
  return item;
}

std::string EncodeChanges(const StoreChanges& changes,
                          PackedValueCache* cache) {
  schema::KnownChanges encoded;
  for (const StoreItem& item : changes.items) {
    EncodeItem(item, cache, encoded.add_items());
  }
  encoded.set_revision(EncodeRevision(changes.revision));
  encoded.set_confirmed_after_arrival_ms(
      changes.confirmed_after_arrival.count());
  encoded.set_complete(changes.complete);
  encoded.set_return_ms(changes.returns_for.count());
  return encoded.SerializeAsString();
}

std::optional<StoreChanges> DecodeChanges(const std::string& bytes) {
  schema::KnownChanges encoded;
  if (!encoded.ParseFromString(bytes)) {
    return std::nullopt;
  }
  StoreChanges changes;
  for (const schema::KnownItem& item : encoded.items()) {
    std::optional<StoreItem> decoded = DecodeItem(item);
    if (!decoded) {
      return std::nullopt;
    }
    changes.items.push_back(std::move(*decoded));
  }
  changes.revision = DecodeRevision(encoded.revision());
  changes.confirmed_after_arrival =
      Millis(encoded.confirmed_after_arrival_ms());
  changes.complete = encoded.complete();
  changes.returns_for = Millis(encoded.return_ms());
  return changes;
}

}  // namespace bilberrypitch
