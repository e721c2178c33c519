// Tests of the evacuated zones, and of what they mean for upstreams.
#include "serving/zone_evacuations.h"

#include <catch2/catch.hpp>

#include "serving/store_record.h"
#include "serving/upstream_registry.h"

namespace bilberrypitch {
namespace {

const ZoneId kZone("z");
const ServiceId kService("s");

StoreItem Item(StoreRevision revision, bool deleted = false) {
  StoreItem item;
  item.key = "evacuate/z";
  item.revision = revision;
  item.deleted = deleted;
  return item;
}

}  // namespace

TEST_CASE("a zone is evacuated from its record's write until its deletion",
          "[evacuations]") {
  ZoneEvacuations evacuations;
  REQUIRE(evacuations.OnRecord({kZone, true}, Item({0, 4})));
  REQUIRE_FALSE(evacuations.OnRecord({kZone, true}, Item({0, 5})));
  REQUIRE(evacuations.OnRecord({ZoneId("y"), true}, Item({0, 6})));
  REQUIRE(evacuations.size() == 2);
  REQUIRE(evacuations.OnRecord({kZone, false}, Item({0, 7}, true)));
  REQUIRE_FALSE(evacuations.IsEvacuated(kZone));
  REQUIRE(evacuations.IsEvacuated(ZoneId("y")));
  REQUIRE_FALSE(evacuations.OnRecord({kZone, false}, Item({0, 8}, true)));
}

// Guards against: an evacuation whose end was missed lasts for ever, or one
// that began after a full read was taken is ended by it.
TEST_CASE("a full read ends the evacuations that it lacks", "[evacuations]") {
  ZoneEvacuations evacuations;
  evacuations.OnRecord({kZone, true}, Item({1, 10}));
  REQUIRE(evacuations.OnFullRead({"evacuate/z"}, {1, 20}).empty());
  REQUIRE(evacuations.OnFullRead({}, {1, 9}).empty());
  REQUIRE(evacuations.IsEvacuated(kZone));
  REQUIRE(evacuations.OnFullRead({}, {2, 3}) == std::vector<ZoneId>{kZone});
  REQUIRE(evacuations.size() == 0);
}

// Guards against: an upstream that registers or restarts during the evacuation
// is used.
TEST_CASE("upstreams of an evacuated zone are not usable", "[evacuations]") {
  ZoneEvacuations evacuations;
  UpstreamRegistry registry({}, &evacuations);
  UpstreamRecord record{UpstreamId("u"), UpstreamEntry()};
  record.entry->id = record.id;
  record.entry->service = kService;
  record.entry->zone = kZone;
  for (int64_t started_ms : {1, 1, 2}) {
    record.entry->started_ms = started_ms;
    registry.OnRecord(record, Millis(100), Millis(0));
    REQUIRE(registry.UsableOf(kService, Millis(100)).size() == 1);
    evacuations.OnRecord({kZone, true}, Item({0, 1}));
    REQUIRE(registry.UsableOf(kService, Millis(100)).empty());
    registry.OnRecord(record, Millis(100), Millis(0));
    REQUIRE(registry.UsableOf(kService, Millis(100)).empty());
    evacuations.OnRecord({kZone, false}, Item({0, 2}, true));
  }
}

}  // namespace bilberrypitch
