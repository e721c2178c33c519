// Tests of configurations of thousands of routes, and of refusals by a
// configuration that may not be the newest one.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "counting_store.h"
#include "gateway/known_items.h"
#include "gateway/reader_client.h"
#include "gateway/value_packing.h"
#include "gateway_fixture.h"
#include "scripted_upstream.h"
#include "serving/store_call.h"

namespace bilberrypitch {
namespace {

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

std::string LargeConfig(int version, int added_routes) {
  std::string routes;
  for (int i = 0; i < added_routes; ++i) {
    routes += fmt::format(
        R"(,{{"name":"r{0}","host":"h","prefix":"/added{0}/",
          "kind":"idempotent","timeoutMs":2000,"goalMs":300,"attempts":2,
          "service":"s"}})",
        i * 7919 % added_routes);
  }
  return fmt::format(R"({{"version":{},"routes":[
    {{"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
      "timeoutMs":2000,"goalMs":300,"attempts":2,"service":"s"}}{}],
    "services":[{{"name":"s"}}],
    "tenants":[{{"name":"w","apiKeys":["k1"]}}]}})",
                     version, routes);
}

StoreItem ItemOf(std::string value, int64_t revision) {
  StoreItem item;
  item.key = "op/config";
  item.value = std::move(value);
  item.revision = StoreRevision(0, revision);
  return item;
}

StoreChanges ChangesOf(const StoreItem& item) {
  StoreChanges changes;
  changes.items = {item};
  changes.revision = item.revision;
  return changes;
}

}  // namespace

// Guards against: a change of one of thousands of routes fills the links of the
// followers and of their reader with the whole of the configuration.
TEST_CASE("a large value takes a fraction of its size between instances",
          "[large_config]") {
  constexpr size_t kLeastFactor = 5;
  PackedValueCache cache;
  for (int64_t revision = 1; revision <= 3; ++revision) {
    StoreItem item =
        ItemOf(LargeConfig(static_cast<int>(revision), 4000), revision);
    std::string bytes = EncodeChanges(ChangesOf(item), &cache);
    REQUIRE(bytes.size() * kLeastFactor < item.value.size());
    std::optional<StoreChanges> decoded = DecodeChanges(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->items.at(0).value == item.value);
    // One that doesn't unpack values gets them as they are.
    decoded = DecodeChanges(EncodeChanges(ChangesOf(item), nullptr));
    REQUIRE(decoded);
    REQUIRE(decoded->items.at(0).value == item.value);
  }
}

// Guards against: bytes that can't be unpacked are taken for an empty value, or
// a size that is stated takes all memory.
TEST_CASE("a packed value is unpacked whole or not at all", "[large_config]") {
  const std::string value = LargeConfig(1, 100);
  std::optional<std::string> packed = PackValue(value);
  REQUIRE(packed);
  REQUIRE(UnpackValue(*packed, value.size()) == value);
  REQUIRE_FALSE(UnpackValue(*packed, value.size() - 1));
  REQUIRE_FALSE(UnpackValue(*packed, value.size() + 1));
  REQUIRE_FALSE(UnpackValue(*packed, size_t{1} << 40));
  REQUIRE_FALSE(UnpackValue(packed->substr(1), value.size()));
  REQUIRE_FALSE(UnpackValue("", value.size()));
  REQUIRE_FALSE(PackValue("small"));
}

// Guards against: a follower gives up a response of its reader that takes
// longer than a fixed time, and fetches the same again from the store.
TEST_CASE("a follower takes a large response while its bytes come",
          "[large_config]") {
  constexpr int kPieces = 10;
  // Together longer than the time for the begin of a response.
  constexpr std::chrono::milliseconds kPause{110};
  const StoreItem item = ItemOf(LargeConfig(2, 4000), 5);
  const std::string body = EncodeChanges(ChangesOf(item), nullptr);
  ScriptedUpstream reader(
      [&](ScriptedConnection* connection, const ScriptedRequest&) {
        std::string response = ResponseText("200 OK", "", body);
        size_t piece = response.size() / kPieces + 1;
        for (size_t at = 0; at < response.size(); at += piece) {
          connection->Write(response.substr(at, piece));
          std::this_thread::sleep_for(kPause);
        }
      });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  ReaderClient queries(&client);
  std::optional<ReaderClient::Result> result;
  StoreCall call;
  call.timeout = Millis(100);
  queries.Query(reader.address(), call, [&](ReaderClient::Result given) {
    result = std::move(given);
    loop.Stop();
  });
  loop.Run();
  REQUIRE(result);
  REQUIRE(result->changes);
  REQUIRE(result->changes->items.at(0).value == item.value);
}

// Guards against: an instance whose view is older than a change may take to be
// in force says that a route does not exist, which may have been added since.
TEST_CASE("a request isn't refused by a configuration that may be old",
          "[large_config]") {
  Fixture fixture;
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/added/x").status == kNotFoundStatus);
  fixture.store.SetUnavailable(true);
  const ClusterBounds bounds;
  fixture.WaitFor(bounds.config_apply + Millis(100));
  CallOutcome outcome = fixture.SendRequest("/added/x");
  REQUIRE(outcome.status == kUnavailableStatus);
  REQUIRE_FALSE(outcome.headers.Get("Retry-After").empty());
  fixture.store.SetUnavailable(false);
  fixture.WaitForStatus(kOkStatus);
  REQUIRE(fixture.SendRequest("/added/x").status == kNotFoundStatus);
}

// Guards against: an instance that starts when the store has just come back
// from a copy refuses by the configuration of the copy.
TEST_CASE("a request isn't refused by the configuration of a copy",
          "[large_config]") {
  Fixture fixture;
  fixture.store.Put("op/config", LargeConfig(2, 0));
  fixture.WaitUntilReady();
  fixture.store.TakeCopy();
  fixture.store.Put("op/config", LargeConfig(3, 10));
  fixture.WaitFor(Millis(500));
  REQUIRE(fixture.SendRequest("/added3/x").status == kOkStatus);
  fixture.KillFirst();
  fixture.store.RestoreCopy();
  CountingStore access(&fixture.loop, &fixture.store);
  std::unique_ptr<Gateway> second = fixture.StartSecond(&access);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/read/x").status == kOkStatus);
  REQUIRE(fixture.SendRequest("/added3/x").status == kUnavailableStatus);
  fixture.store.Put("op/config", LargeConfig(3, 10));
  fixture.WaitFor(Millis(500));
  REQUIRE(fixture.SendRequest("/added3/x").status == kOkStatus);
}

}  // namespace bilberrypitch
