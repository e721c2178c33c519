// Tests of ConnectionTrustTable.
#include "serving/connection_trust_table.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {

// Guards against: a table that grows with each address that ever showed a sign.
TEST_CASE("the table of trust is bounded and keeps the latest signs",
          "[trust]") {
  ConnectionTrustTable table;
  Millis now(1000);
  const int count = static_cast<int>(ConnectionTrustTable::kMaxAddresses);
  for (int i = 0; i < 3 * count; ++i) {
    std::string address = std::to_string(i);
    REQUIRE(table.MayReuseConnections(address, now));
    table.OnSign(address, now);
    REQUIRE_FALSE(table.MayReuseConnections(address, now));
    REQUIRE(table.addresses() <= ConnectionTrustTable::kMaxAddresses);
  }
  // What is distrusted no longer goes first.
  now = now + ConnectionTrust::kFirstDistrust;
  table.OnSign("new", now);
  REQUIRE(table.addresses() == 1);
  REQUIRE_FALSE(table.MayReuseConnections("new", now));
}

}  // namespace bilberrypitch
