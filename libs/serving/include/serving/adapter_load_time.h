// Estimates how long an engine takes to load an adapter that it has not held
// recently.
//
// An engine does not tell when a load is complete; it rejects requests for the
// adapter until then. The time differs between deployments and grows while many
// adapters are fetched at once, so it is learned from these rejections: one
// raises the estimate at once. Loads without one lower it slowly, and not while
// the latest rejection is recent, since each attempt to lower it costs a
// request a rejection.
#pragma once

#include <optional>

#include "base/strong.h"

namespace bilberrypitch {

class AdapterLoadTime {
 public:
  Millis Estimate() const;
  // The engine rejected a request after the load was assumed to be complete
  // `elapsed` after its begin. `earlier`: rejections after the same load
  // before.
  void OnRejected(Millis elapsed, int earlier, Millis now);
  // The adapter was loaded, and no request was rejected.
  void OnLoadedInTime(Millis now);

 private:
  // Initially for a load of 250 ms.
  double estimate_ms_ = 255;
  std::optional<Millis> rejected_at_;  // The latest.
};

}  // namespace bilberrypitch
