// Claims of Idempotency-Keys.
#include "dispatch/claim.h"

#include "base/hash.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {

ClaimVerdict JudgeClaim(const schema::Claim* stands,
                        std::string_view own_claim_id,
                        std::string_view own_fingerprint) {
  if (stands == nullptr) {
    return ClaimVerdict::kAbsent;
  }
  if (stands->claim_id() == own_claim_id) {
    return ClaimVerdict::kOwn;
  }
  if (stands->fingerprint() != own_fingerprint) {
    return ClaimVerdict::kReused;
  }
  return stands->finished() ? ClaimVerdict::kFinished : ClaimVerdict::kInUse;
}

std::string ClaimKey(const WorkspaceId& workspace, std::string_view key) {
  return "/bilberrypitch/claims/" + workspace.str() + "/" + Sha256Hex(key);
}

}  // namespace bilberrypitch
