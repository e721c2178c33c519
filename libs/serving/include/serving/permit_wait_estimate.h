// How long requests are expected to wait for a permit at the upstreams of a
// service that state a rate limit.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

// An average of the waits that issuers have stated. It holds until as much time
// has passed without a new statement: nobody asks for permits while it is high,
// so none would lower it, and the wait is over by then.
class PermitWaitEstimate {
 public:
  void OnStated(Millis wait, Millis now);
  double ExpectedMs(Millis now) const;

 private:
  double average_ms_ = 0;
  Millis stated_at_;
};

}  // namespace bilberrypitch
