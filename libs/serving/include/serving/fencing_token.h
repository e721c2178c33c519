// The number that tells engines which of two owners is the later one.
#pragma once

#include <cstdint>

#include "serving/store_revision.h"

namespace bilberrypitch {

// JSON carries integers of this many bits exactly.
constexpr int kFencingTokenBits = 53;
// Enough for 10,000 writes a second through three years in one era.
constexpr int kFencingNumberBits = 40;
constexpr int64_t kMaxFencingNumber = (int64_t{1} << kFencingNumberBits) - 1;
constexpr int64_t kMaxFencingEra =
    (int64_t{1} << (kFencingTokenBits - kFencingNumberBits)) - 1;

// Returns the fencing token of an owner key that was written at `revision`. It
// rises with the revision, over eras too. 0, which allows nothing, if the
// revision is beyond the range.
constexpr int64_t ToFencingToken(StoreRevision revision) {
  bool fits = revision.era >= 0 && revision.era <= kMaxFencingEra &&
              revision.number >= 0 && revision.number <= kMaxFencingNumber;
  return fits ? (revision.era << kFencingNumberBits) | revision.number : 0;
}

}  // namespace bilberrypitch
