// Which adapters are wanted where, from the demand that instances report.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/adapter_ref.h"
#include "base/strong.h"

namespace bilberrypitch {

// The demand of one instance for one adapter version.
struct DemandReport {
  AdapterVersionRef ref;
  uint32_t waiting = 0;
  Millis oldest_wait;
  double requests_per_s = 0;
};

// The demand of all instances for one adapter version.
struct DemandTotal {
  AdapterVersionRef ref;
  uint32_t waiting = 0;
  Millis oldest_wait;
  double requests_per_s = 0;
};

// Not thread-safe; its owner holds the lock.
class DemandTable {
 public:
  // Replaces what `from` had reported.
  void OnDemand(const BootId& from, const std::vector<DemandReport>& reports,
                Millis now);
  // Sums what was reported lately, longest wait first.
  std::vector<DemandTotal> Totals(Millis now) const;
  void Forget(const BootId& from) { by_instance_.erase(from); }

 private:
  struct Reported {
    Millis at;
    std::vector<DemandReport> reports;
  };
  std::map<BootId, Reported> by_instance_;
};

// How many upstreams should hold an adapter version with this demand, when
// each runs `batch_slots` sequences at once.
size_t WantedReplicas(const DemandTotal& demand, size_t batch_slots);

}  // namespace bilberrypitch
