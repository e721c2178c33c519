// What a claim that stands in the store means for a call with an
// Idempotency-Key.
//
// The claim is created if absent and carries an id unique to the attempt. A
// write whose answer was lost is settled by reading whose id stands: the claim
// and attempt ids of the service-bus article that docs/DESIGN.md cites.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/strong.h"

namespace bilberrypitch {

namespace schema {
class Claim;
}

enum class ClaimVerdict : uint8_t {
  kAbsent,    // Nobody claimed: the write did not take effect.
  kOwn,       // This attempt holds it: the call may be sent once.
  kFinished,  // Another attempt's answer is recorded: give it again.
  kInUse,     // Another attempt holds it; its outcome is not known yet.
  kReused,    // The key was used for another request.
};

// `stands` is null when the key has no claim.
ClaimVerdict JudgeClaim(const schema::Claim* stands,
                        std::string_view own_claim_id,
                        std::string_view own_fingerprint);

// The store's key for a workspace's Idempotency-Key.
std::string ClaimKey(const WorkspaceId& workspace, std::string_view key);

}  // namespace bilberrypitch
