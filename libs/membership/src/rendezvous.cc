// Rendezvous hashing.
#include "membership/rendezvous.h"

#include "base/check.h"
#include "base/hash.h"

namespace bilberrypitch {

size_t PickByRendezvous(std::string_view key,
                        const std::vector<std::string>& candidates) {
  BP_CHECK(!candidates.empty(), "there is a candidate");
  size_t best = 0;
  uint64_t best_score = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    uint64_t score = StableHash(key, candidates[i]);
    bool better = score > best_score ||
                  (score == best_score && candidates[i] < candidates[best]);
    if (i == 0 || better) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace bilberrypitch
