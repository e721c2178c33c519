// Tests of the era that the store states in its responses.
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "gateway_fixture.h"
#include "platform/store_client.h"
#include "serving/fencing_token.h"

namespace bilberrypitch {

// Guards against: a response, above all one that reports a failure, is used
// without the era that it states.
TEST_CASE("each response of the store carries its era", "[store_client][era]") {
  Fixture fixture;
  EventLoopHttpClient client(&fixture.loop);
  int status = 200;
  std::string era = "3";
  fixture.second.SetHandler([&](const HttpRequest&, Responder* responder) {
    HttpResponse response;
    response.status = status;
    if (!era.empty()) {
      response.headers.Add("Store-Era", era);
    }
    response.body = R"({"items":[{"key":"a","rev":5}],"at":7,"rev":8})";
    responder->Send(std::move(response));
  });
  platform::StoreClient store(&client, fixture.second.address());
  std::optional<StorePage> page;
  auto read = [&] {
    page.reset();
    store.ReadPage("", "", [&](StorePage result) { page = result; });
    fixture.WaitUntil([&] { return page.has_value(); });
  };
  read();
  REQUIRE(page->era == 3);
  REQUIRE(page->revision == StoreRevision(3, 7));
  REQUIRE(page->items.at(0).revision == StoreRevision(3, 5));

  status = 410;
  std::optional<StoreWatchResult> watched;
  store.Watch("", StoreRevision(2, 9), Millis(100),
              [&](StoreWatchResult result) { watched = result; });
  fixture.WaitUntil([&] { return watched.has_value(); });
  REQUIRE(watched->outcome == StoreOutcome::kHistoryCompacted);
  REQUIRE(watched->era == 3);

  status = 412;
  std::optional<StoreCommitResult> committed;
  store.Commit({},
               [&](const StoreCommitResult& result) { committed = result; });
  fixture.WaitUntil([&] { return committed.has_value(); });
  REQUIRE(committed->outcome == StoreOutcome::kConflict);
  REQUIRE(committed->era == 3);
  REQUIRE(committed->current.at(0).revision == StoreRevision(3, 5));

  status = 404;
  std::optional<StoreLeaseResult> renewed;
  store.RenewLease(1, [&](StoreLeaseResult result) { renewed = result; });
  fixture.WaitUntil([&] { return renewed.has_value(); });
  REQUIRE(renewed->outcome == StoreOutcome::kLeaseNotFound);
  REQUIRE(renewed->era == 3);

  status = 200;
  era = "";
  read();
  REQUIRE(page->era == 0);
}

// Guards against: an era that can't be read counts as another one, and what the
// store wrote in the right one is taken for older or newer than it is.
TEST_CASE("a response whose era can't be read counts as failed",
          "[store_client][era]") {
  Fixture fixture;
  EventLoopHttpClient client(&fixture.loop);
  int status = 200;
  std::string era;
  fixture.second.SetHandler([&](const HttpRequest&, Responder* responder) {
    HttpResponse response;
    response.status = status;
    response.headers.Add("Store-Era", era);
    response.body = R"({"items":[{"key":"a","rev":5}],"at":7,"rev":8})";
    responder->Send(std::move(response));
  });
  platform::StoreClient store(&client, fixture.second.address());
  auto read = [&] {
    std::optional<StorePage> page;
    store.ReadPage("", "", [&](StorePage result) { page = result; });
    fixture.WaitUntil([&] { return page.has_value(); });
    return *page;
  };
  for (const char* text : {"12x", "x12", "-5", "-0", "+5", "abc", "1 2", "1.0",
                           "0x1", "8192", "9223372036854775808", "1, 2", ""}) {
    era = text;
    CAPTURE(era);
    status = 200;
    StorePage page = read();
    CHECK(page.outcome == StoreOutcome::kUnknown);
    CHECK_FALSE(page.era.has_value());
    CHECK(page.items.empty());

    status = 410;
    std::optional<StoreWatchResult> watched;
    store.Watch("", StoreRevision(2, 9), Millis(100),
                [&](StoreWatchResult result) { watched = result; });
    fixture.WaitUntil([&] { return watched.has_value(); });
    CHECK(watched->outcome == StoreOutcome::kUnknown);
    CHECK_FALSE(watched->era.has_value());

    status = 412;
    std::optional<StoreCommitResult> committed;
    store.Commit({},
                 [&](const StoreCommitResult& result) { committed = result; });
    fixture.WaitUntil([&] { return committed.has_value(); });
    CHECK(committed->outcome == StoreOutcome::kUnknown);
    CHECK_FALSE(committed->era.has_value());
    CHECK(committed->current.empty());

    status = 404;
    std::optional<StoreLeaseResult> renewed;
    store.RenewLease(1, [&](StoreLeaseResult result) { renewed = result; });
    fixture.WaitUntil([&] { return renewed.has_value(); });
    CHECK(renewed->outcome == StoreOutcome::kUnknown);
    CHECK_FALSE(renewed->era.has_value());
  }
  status = 200;
  for (int64_t readable : {int64_t{0}, int64_t{12}, kMaxFencingEra}) {
    era = std::to_string(readable);
    StorePage page = read();
    CHECK(page.outcome == StoreOutcome::kOk);
    CHECK(page.era == readable);
  }
}

}  // namespace bilberrypitch
