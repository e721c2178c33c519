// Which upstreams are cold, by their entries, the ends of evacuations and the
// configuration. A cold upstream gets a rate limit; see cold_permits.h.
//
// No I/O: the calling code reports what happens and calls Update when it is
// due.
#pragma once

#include <functional>

#include "serving/ids.h"

namespace bilberrypitch {

class ActiveConfig;
class UpstreamRegistry;
struct UpstreamState;

// Not thread-safe.
class ColdUpstreams {
 public:
  // An upstream has become cold or warm.
  using OnChange = std::function<void(const UpstreamState&)>;

  // `upstreams` is not owned and must outlive this object. `over`, `slack`: the
  // bound on the requests in one second; see ColdPermitRate.
  ColdUpstreams(UpstreamRegistry* upstreams, double over, double slack,
                OnChange on_change);

  // The entry of the upstream arrived. `is_of_copy`: see ColdPeriod. Returns
  // whether others have to be told what it states. `config`: null if none is
  // known.
  bool OnEntry(const UpstreamId& id, bool is_of_copy,
               const ActiveConfig* config, Millis now);
  // Its upstreams may have become cold while no request went there.
  void OnEvacuationEnded(const ZoneId& zone, const ActiveConfig* config,
                         Millis now);
  // Sets the limits of all upstreams. Returns when to call again; zero: not
  // before something happens.
  Millis Update(const ActiveConfig* config, Millis now);

 private:
  void SetLimit(UpstreamState* upstream, const ActiveConfig* config,
                Millis now);

  UpstreamRegistry* const upstreams_;
  const double over_;
  const double slack_;
  const OnChange on_change_;
};

}  // namespace bilberrypitch
