// Tests of ConnectionTrust.
#include "serving/connection_trust.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

constexpr Millis kStart{1000};
constexpr Millis kFirst = ConnectionTrust::kFirstDistrust;

}  // namespace

TEST_CASE("connections are used again without a sign", "[trust]") {
  ConnectionTrust trust;
  REQUIRE(trust.MayReuseConnections(Millis(0)));
  REQUIRE(trust.MayReuseConnections(kStart));
}

// Guards against: a connection on which late bytes may still arrive is used
// again right after the first ones.
TEST_CASE("connections are not used again for some time after a sign",
          "[trust]") {
  ConnectionTrust trust;
  trust.OnSign(kStart);
  REQUIRE_FALSE(trust.MayReuseConnections(kStart));
  REQUIRE_FALSE(trust.MayReuseConnections(kStart + kFirst - Millis(1)));
  REQUIRE(trust.MayReuseConnections(kStart + kFirst));
}

TEST_CASE("a sign during a distrust prolongs it by its own length", "[trust]") {
  ConnectionTrust trust;
  Millis last;
  for (int i = 0; i < 5; ++i) {
    last = kStart + Millis(i * 10);
    trust.OnSign(last);
  }
  REQUIRE_FALSE(trust.MayReuseConnections(last + kFirst - Millis(1)));
  REQUIRE(trust.MayReuseConnections(last + kFirst));
}

TEST_CASE("each further distrust is twice as long, up to the longest",
          "[trust]") {
  ConnectionTrust trust;
  Millis now = kStart;
  Millis expected = kFirst;
  for (int i = 0; i < 8; ++i) {
    trust.OnSign(now);
    CAPTURE(i);
    REQUIRE_FALSE(trust.MayReuseConnections(now + expected - Millis(1)));
    REQUIRE(trust.MayReuseConnections(now + expected));
    now = now + expected;
    expected = std::min(ConnectionTrust::kLongestDistrust, expected * 2);
  }
}

}  // namespace bilberrypitch
