// This instance as a source of permits for cold upstreams: as an issuer, and by
// its own share.
#pragma once

#include <optional>
#include <vector>

#include "serving/cold_permits.h"
#include "serving/ids.h"

namespace bilberrypitch {

// Must be used on the event loop's thread only.
class ColdPermitSource {
 public:
  ColdPermitSource(const MachineId& self, Millis now)
      : self_(self), issuer_(now) {}

  // See ColdPermitIssuer.
  void OnView(Millis confirmed_at, Millis member_until, Millis now);
  void OnMembersChanged(Millis now) { issuer_.OnMembersChanged(now); }
  // `issuers`: of the upstream, by the present view.
  std::optional<Permit> Issue(const UpstreamId& upstream,
                              const std::vector<MachineId>& issuers,
                              double rate_per_s, Millis max_wait, Millis now);
  // `members`: all, this instance included, in the order of their ids.
  Permit IssueOwnShare(const UpstreamId& upstream,
                       const std::vector<MachineId>& members, double rate_per_s,
                       Millis max_wait, Millis now);

 private:
  const MachineId self_;
  ColdPermitIssuer issuer_;
  ColdOwnShare own_share_;
  bool knows_members_ = false;  // It had a confirmed view once.
};

}  // namespace bilberrypitch
