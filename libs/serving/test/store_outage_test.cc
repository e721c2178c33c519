// Tests of how an outage of the store is told from a cut of one instance.
#include "serving/store_outage.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

using Verdict = StoreOutage::Verdict;

constexpr Millis kInterval{600};

// Confirmed at this interval from `begin` to `end`.
void Follow(StoreOutage* outage, Millis begin, Millis end) {
  for (Millis at = begin; at <= end; at = at + kInterval) {
    outage->OnConfirmed(at);
  }
}

}  // namespace

// Guards against: an instance that has followed the store for too short a time
// to have seen an outage says that there was none.
TEST_CASE("an instance tells of gaps once it has followed the store",
          "[outage]") {
  StoreOutage outage;
  REQUIRE(outage.LongestGap(Millis(100)) == Millis(0));
  Follow(&outage, Millis(1000), Millis(8000));
  REQUIRE(outage.LongestGap(Millis(8999)) == Millis(0));
  Follow(&outage, Millis(8200), Millis(9400));
  REQUIRE(outage.LongestGap(Millis(9500)) == kInterval);
}

// Guards against: an outage that lasts, or one just before, is not told.
TEST_CASE("a gap is told while it lasts and for some time after it",
          "[outage]") {
  StoreOutage outage;
  Follow(&outage, Millis(1000), Millis(13000));
  REQUIRE(outage.LongestGap(Millis(16000)) == Millis(3000));
  Follow(&outage, Millis(17000), Millis(24800));
  REQUIRE(outage.LongestGap(Millis(24800)) == Millis(4000));
  Follow(&outage, Millis(25400), Millis(26600));
  REQUIRE(outage.LongestGap(Millis(26600)) == kInterval);
}

// Guards against: the verdict of an earlier outage stands for the next one.
TEST_CASE("a new loss of the store is judged anew", "[outage]") {
  StoreOutage outage;
  outage.OnFailure(Millis(1000));
  outage.OnLost();
  outage.OnFailure(Millis(3000));
  outage.OnPeerGap(Millis(600));
  REQUIRE(outage.verdict() == Verdict::kCutOff);
  outage.OnSuccess();
  outage.OnFailure(Millis(9000));
  REQUIRE(outage.verdict() == Verdict::kCutOff);
  outage.OnFailure(Millis(10000));
  outage.OnLost();
  REQUIRE(outage.verdict() == Verdict::kNobodyAsked);
  outage.OnPeerGap(Millis(1000));
  REQUIRE(outage.verdict() == Verdict::kOutage);
}

}  // namespace bilberrypitch
