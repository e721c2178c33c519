// Tests of the table of streams.
#include "serving/stream_origins.h"

#include <catch2/catch.hpp>

namespace bilberrypitch {
namespace {

const ServiceId kService("s");
const SoftwareVersion kVersion("v1");

StreamOrigin OriginAt(Millis begun_at, Millis expires_at) {
  StreamOrigin origin;
  origin.service = kService;
  origin.software = kVersion;
  origin.upstream = UpstreamId("u");
  origin.upstream_started_ms = 1;
  origin.begun_at = begun_at;
  origin.expires_at = expires_at;
  return origin;
}

}  // namespace

TEST_CASE("a stream is known until it can't be taken up", "[origins]") {
  StreamOrigins origins;
  origins.Add(StreamKey{1}, OriginAt(Millis(0), Millis(100)), Millis(0));
  origins.Add(StreamKey{2}, OriginAt(Millis(0), Millis(50)), Millis(0));
  REQUIRE(origins.Find(StreamKey{1}, Millis(99))->software == kVersion);
  REQUIRE_FALSE(origins.Find(StreamKey{1}, Millis(100)));
  REQUIRE_FALSE(origins.Find(StreamKey{3}, Millis(0)));
  // It goes on, so that it is known for longer.
  origins.Add(StreamKey{2}, OriginAt(Millis(40), Millis(140)), Millis(40));
  origins.Add(StreamKey{4}, OriginAt(Millis(60), Millis(160)), Millis(60));
  REQUIRE(origins.Find(StreamKey{2}, Millis(60)));
  origins.Add(StreamKey{5}, OriginAt(Millis(150), Millis(250)), Millis(150));
  REQUIRE(origins.size() == 2);
}

TEST_CASE("the table of streams is bounded", "[origins]") {
  StreamOrigins origins;
  for (uint64_t i = 0; i < StreamOrigins::kMaxStreams + 10; ++i) {
    origins.Add(StreamKey{i},
                OriginAt(Millis(0), Millis(1000 + static_cast<int64_t>(i))),
                Millis(0));
  }
  REQUIRE(origins.size() == StreamOrigins::kMaxStreams);
  REQUIRE_FALSE(origins.Find(StreamKey{0}, Millis(0)));
}

TEST_CASE("a stream is reported once", "[origins]") {
  StreamOrigins origins;
  origins.Add(StreamKey{1}, OriginAt(Millis(0), Millis(100)), Millis(0));
  StreamOrigin told = OriginAt(Millis(0), Millis(100));
  told.upstream = UpstreamId();
  origins.Add(StreamKey{2}, told, Millis(0));
  REQUIRE(origins.TakeUnreported(kService, Millis(1)).size() == 1);
  REQUIRE(origins.TakeUnreported(kService, Millis(2)).empty());
  REQUIRE(origins.All(kService, Millis(2)).size() == 2);
}

// Guards against: streams that an upstream began as another version, before its
// entry said so, go on at the version that it had.
TEST_CASE("the latest streams of an upstream in a new version are doubted",
          "[origins]") {
  StreamOrigins origins;
  origins.Add(StreamKey{1}, OriginAt(Millis(0), Millis(900)), Millis(0));
  origins.Add(StreamKey{2}, OriginAt(Millis(500), Millis(900)), Millis(500));
  const UpstreamId upstream("u");
  REQUIRE(origins.Doubt(upstream, kVersion, Millis(400)).empty());
  const SoftwareVersion other("v2");
  REQUIRE(origins.Doubt(UpstreamId("x"), other, Millis(400)).empty());
  REQUIRE(origins.Doubt(upstream, other, Millis(400)).size() == 1);
  REQUIRE(origins.Find(StreamKey{2}, Millis(600))->software.empty());
  REQUIRE(origins.Find(StreamKey{1}, Millis(600))->software == kVersion);
}

}  // namespace bilberrypitch
