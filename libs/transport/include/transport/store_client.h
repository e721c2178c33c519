// The platform's key-value service: reads, compare-and-swap, leases.
//
// The interface is narrow, so that a platform with another protocol needs only
// another implementation. EtcdStoreClient speaks the published JSON gateway of
// etcd v3.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

class HttpClient;

struct StoreEntry {
  std::string key;
  std::string value;
  int64_t mod_revision = 0;
};

// `kUnknown`: the answer was lost; the write may or may not have happened.
enum class StoreStatus : uint8_t { kOk, kConflict, kUnavailable, kUnknown };

struct StoreReadResult {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoreEntry> entries;
  int64_t revision = 0;
};

// Succeeds only while `key` stands at `mod_revision` (0: does not exist).
struct StoreCondition {
  std::string key;
  int64_t mod_revision = 0;
};

struct StoreWrite {
  std::string key;
  std::string value;
  bool remove = false;
  int64_t lease = 0;
};

struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
};

struct StoreCallCounters {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t leases = 0;
  uint64_t watches = 0;
  uint64_t failures = 0;
};

class StoreClient {
 public:
  using ReadDone = std::function<void(StoreReadResult)>;
  using WriteDone = std::function<void(StoreStatus)>;
  using LeaseDone = std::function<void(StoreStatus, int64_t lease)>;

  virtual ~StoreClient() = default;
  // All entries whose key begins with `prefix`, or the one entry `key`.
  virtual void ReadPrefix(const std::string& prefix, ReadDone done) = 0;
  virtual void Read(const std::string& key, ReadDone done) = 0;
  // As Read, without the value: whether and when the entry was changed.
  virtual void ReadRevision(const std::string& key, ReadDone done) = 0;
  virtual void Commit(const StoreTransaction& transaction, WriteDone done) = 0;
  virtual void GrantLease(Millis time_to_live, LeaseDone done) = 0;
  // Calls `changed` for each change of `key` until the connection ends, then
  // `ended`. One waiting call at the store.
  virtual void Watch(const std::string& key, std::function<void()> changed,
                     std::function<void()> ended) = 0;
  virtual StoreCallCounters counters() const = 0;

  // Blocking forms, for the command line and tests.
  StoreReadResult ReadNow(const std::string& key);
  StoreReadResult ReadPrefixNow(const std::string& prefix);
  StoreStatus CommitNow(const StoreTransaction& transaction);
};

// `client` outlives the result.
std::unique_ptr<StoreClient> MakeEtcdStoreClient(HttpClient* client,
                                                 std::string address,
                                                 Millis deadline);

}  // namespace bilberrypitch
