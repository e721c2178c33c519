// Tests of the rate limits of cold upstreams.
#include "serving/cold_upstreams.h"

#include <catch2/catch.hpp>

#include "serving/active_config.h"
#include "serving/cold_permits.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

const UpstreamId kId("u");
const ZoneId kZone("z");

struct ColdFixture {
  explicit ColdFixture(double cold_per_s = 4)
      : cold(&registry, 1.5, 5, [this](const UpstreamState&) { ++changes; }) {
    ServingConfig decoded;
    Service service;
    service.id = ServiceId("s");
    service.cold_time = Millis(15000);
    service.cold_per_s = cold_per_s;
    decoded.services.push_back(service);
    config = std::make_unique<ActiveConfig>(std::move(decoded));
  }

  bool Put(Millis cold_left, Millis now, int64_t started_ms = 1) {
    UpstreamRecord record{kId, UpstreamEntry()};
    record.entry->id = kId;
    record.entry->service = ServiceId("s");
    record.entry->zone = kZone;
    record.entry->started_ms = started_ms;
    record.entry->cold_left = cold_left;
    registry.OnRecord(record, now, Millis(0));
    return cold.OnEntry(kId, false, config.get(), now);
  }
  UpstreamState* upstream() { return registry.Find(kId); }

  UpstreamRegistry registry{{}};
  ColdUpstreams cold;
  std::unique_ptr<ActiveConfig> config;
  int changes = 0;
};

}  // namespace

TEST_CASE("an upstream has a limit while it is cold", "[cold]") {
  ColdFixture fixture;
  REQUIRE(fixture.Put(Millis(5000), Millis(1000)));
  REQUIRE(fixture.upstream()->rate_limit_per_s == ColdPermitRate(4, 1.5, 5));
  REQUIRE(fixture.cold.Update(fixture.config.get(), Millis(2000)) ==
          Millis(6000));
  REQUIRE(fixture.upstream()->IsCold());
  REQUIRE(fixture.cold.Update(fixture.config.get(), Millis(6000)) == Millis(0));
  REQUIRE_FALSE(fixture.upstream()->rate_limit_per_s.has_value());
  REQUIRE(fixture.changes == 2);
}

TEST_CASE("an upstream without a cold rate is never cold", "[cold]") {
  ColdFixture fixture(0);
  REQUIRE_FALSE(fixture.Put(Millis(5000), Millis(1000)));
  fixture.cold.OnEvacuationEnded(kZone, fixture.config.get(), Millis(1000));
  REQUIRE_FALSE(fixture.upstream()->IsCold());
}

// Guards against: a stated limit is forgotten during the cold period, or the
// higher of both rates is used.
TEST_CASE("the lower of a stated limit and the cold rate applies", "[cold]") {
  const double stated = GENERATE(0.5, 100.0);
  ColdFixture fixture;
  fixture.Put(Millis(5000), Millis(1000));
  fixture.registry.OnRateLimit(fixture.upstream(), stated, Millis(1000),
                               Millis(1100));
  REQUIRE(fixture.upstream()->rate_limit_per_s ==
          std::min(stated, ColdPermitRate(4, 1.5, 5)));
  fixture.cold.Update(fixture.config.get(), Millis(7000));
  REQUIRE(fixture.upstream()->rate_limit_per_s == stated);
}

// Guards against: after an evacuation all traffic returns at once to upstreams
// that became cold meanwhile, and followers never learn that they are warm.
TEST_CASE("after an evacuation upstreams count as cold until their next entry",
          "[cold]") {
  ColdFixture fixture;
  fixture.Put(Millis(0), Millis(1000));
  fixture.cold.OnEvacuationEnded(ZoneId("y"), fixture.config.get(),
                                 Millis(2000));
  REQUIRE_FALSE(fixture.upstream()->IsCold());
  fixture.cold.OnEvacuationEnded(kZone, fixture.config.get(), Millis(2000));
  REQUIRE(fixture.upstream()->IsCold());
  SECTION("that states nothing") {
    REQUIRE(fixture.Put(Millis(0), Millis(3000)));
    REQUIRE_FALSE(fixture.upstream()->IsCold());
  }
  SECTION("that does not come") {
    REQUIRE(fixture.cold.Update(fixture.config.get(), Millis(3000)) ==
            Millis(17000));
    fixture.cold.Update(fixture.config.get(), Millis(17000));
    REQUIRE_FALSE(fixture.upstream()->IsCold());
  }
}

// Guards against: an upstream that starts again is taken for warm.
TEST_CASE("a new start has a cold period of its own", "[cold]") {
  ColdFixture fixture;
  fixture.Put(Millis(0), Millis(1000));
  REQUIRE(fixture.Put(Millis(9000), Millis(2000), 2));
  REQUIRE(fixture.upstream()->IsCold());
  REQUIRE(fixture.upstream()->cold_period.until() == Millis(11000));
}

}  // namespace bilberrypitch
