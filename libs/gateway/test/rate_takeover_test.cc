// Tests of the rate account of a workspace while its new owner waits out the
// takeover delay.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr char kOwnerKey[] = "bilberrypitch/owners/rate/w";
// Of the workspace; each of two instances has half of it.
constexpr int kRatePerS = 40;
// A quarter of the rate at each instance, so within its share.
constexpr Millis kPause{100};
// Within the takeover delay of the new owner.
constexpr Millis kDuration{2300};
constexpr int kOkStatus = 200;

std::string LimitedConfig() {
  return fmt::format(R"({{"version":2,"routes":[
    {{"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
      "timeoutMs":2000,"goalMs":300,"attempts":2,"service":"s"}}],
    "services":[{{"name":"s"}}],
    "tenants":[{{"name":"w","apiKeys":["k1"],"ratePerS":{},"burst":{}}}]}})",
                     kRatePerS, kRatePerS);
}

}  // namespace

// Guards against: requests within the rate are rejected until the new owner of
// the account may act, since its peers count on it and it does not respond.
TEST_CASE("requests within the rate are served while an owner waits",
          "[rate]") {
  Fixture fixture;
  fixture.store.Put("op/config", LimitedConfig());
  // Another machine owned the account until it was lost.
  fixture.store.Put(kOwnerKey, "\x0a\x04gone\x12\x01\x62\x18\x01");
  fixture.WaitUntilReady();
  const std::string first_instance = fixture.caller_address();
  std::unique_ptr<Gateway> other = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  const std::string second_instance = fixture.caller_address();
  fixture.WaitFor(Millis(1000));  // The instances hear from each other.
  fixture.store.Remove(kOwnerKey);
  fixture.WaitUntil([&] { return fixture.store.Has(kOwnerKey); });
  fixture.WaitFor(Millis(300));  // Both know the new owner.
  int requests = 0;
  int served = 0;
  Millis end = EventLoop::Now() + kDuration;
  while (EventLoop::Now() < end) {
    for (const std::string& instance : {first_instance, second_instance}) {
      HttpCall call = fixture.CallTo("/read/x", "k1");
      call.address = instance;
      ++requests;
      served += fixture.Send(std::move(call)).status == kOkStatus ? 1 : 0;
    }
    fixture.WaitFor(kPause);
  }
  REQUIRE(requests > 20);
  REQUIRE(served == requests);
}

}  // namespace bilberrypitch
