// The kinds of records that the gateway reads from the store, in decoded form.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "serving/config.h"
#include "serving/store_item.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

// The serving configuration, written by the operator.
struct ConfigRecord {
  ServingConfig config;
};

// The registration of one upstream; no entry means that it was removed.
struct UpstreamRecord {
  UpstreamId id;
  std::optional<UpstreamEntry> entry;
};

// The version in which an adapter has to be used from now on.
struct AdapterVersionRecord {
  ModelRef adapter;
  int64_t version = 0;
};

// The operator evacuates a zone for as long as this record is in the store.
struct ZoneEvacuationRecord {
  ZoneId zone;  // May be one that no upstream is in.
  bool active = false;
};

// A record that the gateway instances themselves write, under their own key
// prefix.
struct ClusterRecord {};

// A record of another writer that can't be decoded. It identifies no upstream,
// adapter or configuration.
struct MalformedRecord {
  std::string reason;
};

using StoreRecord =
    std::variant<ConfigRecord, UpstreamRecord, AdapterVersionRecord,
                 ZoneEvacuationRecord, ClusterRecord, MalformedRecord>;

// Decodes a record from the platform's format.
using StoreRecordDecoder = std::function<StoreRecord(const StoreItem&)>;

}  // namespace bilberrypitch
