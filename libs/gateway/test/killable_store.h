// One instance's access to the fake store, which answers a killed one no more.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "serving/cluster_store.h"

namespace bilberrypitch {

// Forwards all calls to `store`, which must outlive it.
class KillableStore : public ClusterStore {
 public:
  explicit KillableStore(ClusterStore* store) : store_(store) {}

  // Drops the callbacks of all calls that have not ended.
  void Kill() { is_alive_.reset(); }

  void ReadPage(const std::string& prefix, const std::string& after_key,
                std::function<void(StorePage)> done) override {
    store_->ReadPage(prefix, after_key, IfAlive<StorePage>(std::move(done)));
  }
  void Watch(const std::string& prefix, StoreRevision revision, Millis timeout,
             std::function<void(StoreWatchResult)> done) override {
    store_->Watch(prefix, revision, timeout,
                  IfAlive<StoreWatchResult>(std::move(done)));
  }
  void Commit(StoreTransaction transaction,
              std::function<void(StoreCommitResult)> done) override {
    store_->Commit(std::move(transaction),
                   IfAlive<StoreCommitResult>(std::move(done)));
  }
  void GrantLease(Millis time_to_live,
                  std::function<void(StoreLeaseResult)> done) override {
    store_->GrantLease(time_to_live,
                       IfAlive<StoreLeaseResult>(std::move(done)));
  }
  void RenewLease(int64_t lease,
                  std::function<void(StoreLeaseResult)> done) override {
    store_->RenewLease(lease, IfAlive<StoreLeaseResult>(std::move(done)));
  }
  void RevokeLease(int64_t lease) override { store_->RevokeLease(lease); }

 private:
  template <typename Result>
  std::function<void(Result)> IfAlive(std::function<void(Result)> done) const {
    return [alive = std::weak_ptr(is_alive_),
            done = std::move(done)](Result result) {
      if (!alive.expired()) {
        done(std::move(result));
      }
    };
  }

  ClusterStore* const store_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bilberrypitch
