// The kinds of records in the store that the program reads.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "serving/config.h"
#include "serving/store_item.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

// The operator's configuration.
struct ConfigRecord {
  ServingConfig config;
};

// One upstream; without an entry it is gone.
struct UpstreamRecord {
  UpstreamId id;
  std::optional<UpstreamEntry> entry;
};

// The version of an adapter that is to be used from now on.
struct AdapterVersionRecord {
  ModelRef adapter;
  int64_t version = 0;
};

// A record of the program's own, under its own keys.
struct ClusterRecord {};

// Written by somebody else in a form that can't be read: names nothing.
struct MalformedRecord {
  std::string reason;
};

using StoreRecord =
    std::variant<ConfigRecord, UpstreamRecord, AdapterVersionRecord,
                 ClusterRecord, MalformedRecord>;

// Translates the platform's form of a record.
using StoreRecordDecoder = std::function<StoreRecord(const StoreItem&)>;

}  // namespace bilberrypitch
