// Tests of the era that the store states in its responses.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "gateway_fixture.h"
#include "platform/store_client.h"

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

}  // namespace bilberrypitch
