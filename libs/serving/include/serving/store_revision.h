// A revision of the platform's store, together with the store's era.
//
// A store that comes back from an older copy has lost its latest writes and
// gives their revisions out again. Its era then rises by one, so a revision
// says which write it means only together with its era.
#pragma once

#include <compare>
#include <cstdint>

namespace bilberrypitch {

// Ordered by era, then by number. The default value is before every write.
struct StoreRevision {
  constexpr StoreRevision() = default;
  constexpr StoreRevision(int64_t in_era, int64_t with_number)
      : era(in_era), number(with_number) {}

  auto operator<=>(const StoreRevision&) const = default;

  int64_t era = 0;  // 0: the store states none.
  int64_t number = 0;
};

}  // namespace bilberrypitch
