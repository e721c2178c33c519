// Interface to the platform's key-value store: paged reads, a watch,
// conditional transactions and leases.
//
// All callbacks run on the event loop's thread, and never before the call that
// takes them has returned.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/strong.h"
#include "serving/store_item.h"
#include "serving/store_revision.h"

namespace bilberrypitch {

enum class StoreOutcome : uint8_t {
  kOk,
  kConflict,          // A condition did not hold; nothing was changed.
  kLeaseNotFound,     // The given lease does not exist.
  kHistoryCompacted,  // The watch starts before the oldest kept revision.
  kRejected,          // The store rejected the call; nothing was changed.
  kUnreachable,       // No connection was made; nothing was changed.
  kUnknown,           // No response: a write may have been applied or may be
                      // applied later.
};

// One page of a read of all keys with a prefix.
struct StorePage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::optional<int64_t> era;  // Of the store; none: it did not respond.
  std::vector<StoreItem> items;
  bool more = false;       // Further pages follow.
  StoreRevision revision;  // The store's revision at the time of the response.
};

struct StoreWatchResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::optional<int64_t> era;  // Of the store; none: it did not respond.
  std::vector<StoreItem> events;
  StoreRevision revision;  // Revision from which the next watch continues.
};

struct KeyCondition {
  std::string key;
  // Expected revision; number 0: the key must not exist. The store compares
  // the number only.
  StoreRevision revision;
};

struct KeyWrite {
  std::string key;
  std::string value;
  int64_t lease = 0;  // The key is deleted when this lease ends; 0: none.
};

// Applied as a whole if all conditions hold, otherwise not at all.
struct StoreTransaction {
  std::vector<KeyCondition> conditions;
  std::vector<KeyWrite> writes;
  std::vector<std::string> deletes;
};

struct StoreCommitResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::optional<int64_t> era;      // Of the store; none: it did not respond.
  StoreRevision revision;          // On kOk: of this transaction.
  std::vector<StoreItem> current;  // On kConflict: the current items.
};

struct StoreLeaseResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  int64_t lease = 0;
  Millis time_to_live;         // As granted by the store.
  std::optional<int64_t> era;  // Of the store; none: it did not respond.
};

class ClusterStore {
 public:
  virtual ~ClusterStore() = default;
  // Reads the next page of keys with `prefix` in key order, starting after
  // `after_key` (empty: from the first key). Reads are linearizable.
  virtual void ReadPage(const std::string& prefix, const std::string& after_key,
                        std::function<void(StorePage)> done) = 0;
  // Long poll: completes as soon as a key with `prefix` has changed after
  // `revision`, or without events once `timeout` has passed.
  virtual void Watch(const std::string& prefix, StoreRevision revision,
                     Millis timeout,
                     std::function<void(StoreWatchResult)> done) = 0;
  virtual void Commit(StoreTransaction transaction,
                      std::function<void(StoreCommitResult)> done) = 0;
  virtual void GrantLease(Millis time_to_live,
                          std::function<void(StoreLeaseResult)> done) = 0;
  virtual void RenewLease(int64_t lease,
                          std::function<void(StoreLeaseResult)> done) = 0;
  // Ends the lease and deletes its keys; the outcome is not reported.
  virtual void RevokeLease(int64_t lease) = 0;
};

}  // namespace bilberrypitch
