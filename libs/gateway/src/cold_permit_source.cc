// Permits for cold upstreams that this instance gives out.
#include "gateway/cold_permit_source.h"

#include <algorithm>

namespace bilberrypitch {
void ColdPermitSource::OnView(Millis confirmed_at, Millis member_until,
                              Millis now) {
  knows_members_ = true;
  issuer_.OnView(confirmed_at, member_until, now);
}

std::optional<Permit> ColdPermitSource::Issue(
    const UpstreamId& upstream, const std::vector<MachineId>& issuers,
    double rate_per_s, Millis max_wait, Millis now) {
  IssuerRole role = IssuerRole::kNone;
  if (!issuers.empty() && issuers[0] == self_) {
    role = IssuerRole::kFirst;
  } else if (issuers.size() > 1 && issuers[1] == self_) {
    role = IssuerRole::kSecond;
  }
  return issuer_.Issue(upstream, role, rate_per_s, max_wait, now);
}

Permit ColdPermitSource::IssueOwnShare(const UpstreamId& upstream,
                                       const std::vector<MachineId>& members,
                                       double rate_per_s, Millis max_wait,
                                       Millis now) {
  if (!knows_members_) {
    // How many others take a share is not known.
    Permit denied;
    denied.wait = kColdPermitHorizon;
    return denied;
  }
  auto self = std::lower_bound(members.begin(), members.end(), self_);
  auto rank = static_cast<size_t>(self - members.begin());
  return own_share_.Issue(upstream, rate_per_s, rank, members.size(), max_wait,
                          now);
}

}  // namespace bilberrypitch
