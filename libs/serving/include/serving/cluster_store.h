// The platform's store as the program uses it: reads, a watch, conditional
// writes and leases. Callbacks come on the loop's thread, never before the
// call returns.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/strong.h"
#include "serving/store_item.h"

namespace bilberrypitch {

enum class StoreOutcome : uint8_t {
  kOk,
  kConflict,          // A condition did not hold; nothing was done.
  kLeaseNotFound,     // The lease named does not exist.
  kHistoryCompacted,  // A watch begins before what the store still knows.
  kRejected,          // The store turned the call away; nothing was done.
  kUnreachable,       // No connection was made; nothing was done.
  kUnknown,           // No answer: a write may have been done or may yet be.
};

struct StorePage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoreItem> items;
  bool more = false;
  int64_t revision = 0;  // Of the store when it answered.
};

struct StoreWatchResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoreItem> events;
  int64_t revision = 0;  // Where the next watch begins.
};

struct KeyCondition {
  std::string key;
  int64_t revision = 0;  // 0: does not exist.
};

struct KeyWrite {
  std::string key;
  std::string value;
  int64_t lease = 0;
};

struct StoreTransaction {
  std::vector<KeyCondition> conditions;
  std::vector<KeyWrite> writes;
  std::vector<std::string> deletes;
};

struct StoreCommitResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  int64_t revision = 0;            // When kOk.
  std::vector<StoreItem> current;  // When kConflict: what stands.
};

struct StoreLeaseResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  int64_t lease = 0;
  Millis time_to_live;
};

class ClusterStore {
 public:
  virtual ~ClusterStore() = default;
  // Linearizable; `after_key` empty: from the first key.
  virtual void ReadPage(const std::string& prefix, const std::string& after_key,
                        std::function<void(StorePage)> done) = 0;
  // Answers as soon as something changed after `revision`, or empty after
  // `wait`.
  virtual void Watch(const std::string& prefix, int64_t revision, Millis wait,
                     std::function<void(StoreWatchResult)> done) = 0;
  virtual void Commit(StoreTransaction commit,
                      std::function<void(StoreCommitResult)> done) = 0;
  virtual void GrantLease(Millis time_to_live,
                          std::function<void(StoreLeaseResult)> done) = 0;
  virtual void RenewLease(int64_t lease,
                          std::function<void(StoreLeaseResult)> done) = 0;
  virtual void RevokeLease(int64_t lease) = 0;
};

}  // namespace bilberrypitch
