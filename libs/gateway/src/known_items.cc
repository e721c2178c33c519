// Conversion between store records and protobuf messages.
#include "gateway/known_items.h"

#include <algorithm>

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

void EncodeItem(const StoreItem& item, schema::KnownItem* encoded) {
  encoded->set_key(item.key);
  encoded->set_value(item.value);
  encoded->set_revision(EncodeRevision(item.revision));
  encoded->set_lease(item.lease);
  encoded->set_deleted(item.deleted);
}

StoreItem DecodeItem(const schema::KnownItem& encoded) {
  StoreItem item;
  item.key = encoded.key();
  item.value = encoded.value();
  item.revision = DecodeRevision(encoded.revision());
  item.lease = encoded.lease();
  item.deleted = encoded.deleted();
  return item;
}

std::string EncodeChanges(const StoreChanges& changes) {
  schema::KnownChanges encoded;
  for (const StoreItem& item : changes.items) {
    EncodeItem(item, encoded.add_items());
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
    changes.items.push_back(DecodeItem(item));
  }
  changes.revision = DecodeRevision(encoded.revision());
  changes.confirmed_after_arrival =
      Millis(encoded.confirmed_after_arrival_ms());
  changes.complete = encoded.complete();
  changes.returns_for = Millis(encoded.return_ms());
  return changes;
}

}  // namespace bilberrypitch
