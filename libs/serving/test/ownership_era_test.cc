// Tests of resource ownership while the store comes back from earlier copies.
#include <catch2/catch.hpp>

#include "serving/fencing_token.h"

namespace bilberrypitch {

// Guards against: engines reject the orders of an owner in a restored store.
TEST_CASE("fencing tokens rise over eras", "[ownership][era]") {
  REQUIRE(ToFencingToken({0, 41}) == 41);
  REQUIRE(ToFencingToken({1, 1}) > ToFencingToken({0, kMaxFencingNumber}));
  REQUIRE(ToFencingToken({2, 7}) > ToFencingToken({1, 300}));
  int64_t highest = ToFencingToken({kMaxFencingEra, kMaxFencingNumber});
  REQUIRE(highest == (int64_t{1} << kFencingTokenBits) - 1);
  REQUIRE(ToFencingToken({kMaxFencingEra + 1, 1}) == 0);
  REQUIRE(ToFencingToken({0, kMaxFencingNumber + 1}) == 0);
}

}  // namespace bilberrypitch
