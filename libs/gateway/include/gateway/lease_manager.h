// Keeps this process's lease in the platform's store alive.
#pragma once

#include <cstdint>
#include <functional>

#include "base/strong.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
struct StoreLeaseResult;

// On the loop's thread only.
class LeaseManager {
 public:
  struct Hooks {
    std::function<void(int64_t lease)> on_granted;
    // The store says that the lease has ended.
    std::function<void()> on_lost;
  };

  LeaseManager(EventLoop* loop, ClusterStore* store, Millis time_to_live,
               Hooks hooks);

  void Start();
  // Ends the lease at the store: its keys go.
  void Revoke();
  // 0: none.
  int64_t lease_id() const { return lease_; }
  // Whether the store surely still holds the lease: counted from the sending
  // of the last renewal that it answered.
  bool IsValid(Millis now) const;

 private:
  void Grant();
  void Renew();
  void OnGranted(const StoreLeaseResult& it, Millis sent);
  void OnRenewed(const StoreLeaseResult& it, Millis sent);

  ClusterStore* const store_;
  const Millis time_to_live_;
  const Hooks hooks_;
  Timer timer_;
  int64_t lease_ = 0;
  Millis valid_until_;
  bool ended_ = false;
};

}  // namespace bilberrypitch
