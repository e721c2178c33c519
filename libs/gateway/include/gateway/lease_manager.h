// Obtains this process's lease from the platform's store and renews it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/strong.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ClusterStore;
class EventLoop;
struct StoreLeaseResult;

// Must be used on the event loop's thread only.
class LeaseManager {
 public:
  struct Hooks {
    std::function<void(int64_t lease_id)> on_granted;
    // The lease has ended: the store reported it, or is in a newer era. A new
    // one is requested.
    std::function<void()> on_lost;
    // A response states this era of the store. Calls OnEra if it is new.
    std::function<void(std::optional<int64_t> era)> on_era;
  };

  LeaseManager(EventLoop* loop, ClusterStore* store, Millis time_to_live,
               Hooks hooks);

  void Start();
  // Revokes the lease without requesting a new one. The store removes the keys
  // attached to it.
  void Revoke();
  // The store is in this era, and has lost the leases of earlier ones. If it
  // has a lease with the same id, that is another one.
  void OnEra(int64_t era);
  // 0 while there is no lease.
  int64_t lease_id() const { return lease_id_; }
  // Whether the store is certain to still hold the lease. Its lifetime counts
  // from when the last renewal that the store acknowledged was sent.
  bool IsValid(Millis now) const { return now < ValidUntil(); }
  // Zero while there is no lease.
  Millis ValidUntil() const;

 private:
  void Grant();
  void Renew();
  void OnGranted(const StoreLeaseResult& result, Millis sent_at);
  void OnRenewed(const StoreLeaseResult& result, Millis sent_at);
  void LoseLease();

  ClusterStore* const store_;
  const Millis time_to_live_;
  const Hooks hooks_;
  Timer timer_;
  int64_t era_ = 0;
  int64_t lease_id_ = 0;  // Granted in era_.
  // Number of leases so far. Ids are no help to tell the response to an earlier
  // renewal, since another era gives them out again.
  int64_t lease_count_ = 0;
  Millis valid_until_;
  bool revoked_ = false;
};

}  // namespace bilberrypitch
