// Tests of entries that are missing when an instance reaches the store again.
#include <catch2/catch.hpp>
#include <memory>

#include "counting_store.h"
#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr int kOkStatus = 200;
// Until an instance can tell whether it has seen an outage.
constexpr Millis kFollowedFor{9000};
constexpr Millis kLostFor{3000};
// Until an instance has reached the store again and has heard of others.
constexpr Millis kRegainTime{900};
constexpr Millis kPause{50};

// Two instances of different zones, each of which watches the store itself.
// Requests go to the second one.
struct TwoZonesFixture : Fixture {
  TwoZonesFixture() : access(&loop, &store) {
    PutUpstream("i-2", second.address(), "ready");
    WaitUntilReady();
    other = StartSecond(&access, "y");
    WaitUntilReady();
    WaitFor(kFollowedFor);
  }

  CountingStore access;
  std::unique_ptr<Gateway> other;
};

}  // namespace

// Guards against: an instance that was cut off keeps an upstream that was
// removed meanwhile, as if an outage had expired its entry.
TEST_CASE("an upstream that was removed during a cut gets no request",
          "[outage]") {
  TwoZonesFixture fixture;
  fixture.access.SetCut(true);
  fixture.WaitFor(kLostFor);
  fixture.store.Remove("servers/i-1");
  fixture.access.SetCut(false);
  fixture.WaitFor(kRegainTime);
  size_t before = fixture.first.requests().size();
  for (int i = 0; i < 20; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    fixture.WaitFor(kPause);
  }
  REQUIRE(fixture.first.requests().size() == before);
}

// Guards against: all upstreams are given up because an outage has expired
// their entries, which return soon.
TEST_CASE("upstreams whose entries an outage has expired are kept",
          "[outage]") {
  TwoZonesFixture fixture;
  fixture.store.SetUnavailable(true);
  fixture.WaitFor(kLostFor);
  fixture.store.Remove("servers/i-1");
  fixture.store.Remove("servers/i-2");
  fixture.store.SetUnavailable(false);
  fixture.WaitFor(kRegainTime);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    fixture.WaitFor(kPause);
  }
  fixture.PutUpstream("i-1", fixture.first.address(), "ready");
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitFor(kLostFor);
  REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
}

}  // namespace bilberrypitch
