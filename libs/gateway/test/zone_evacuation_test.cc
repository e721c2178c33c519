// Tests of instances while the operator evacuates availability zones.
#include <catch2/catch.hpp>
#include <string>

#include "engine_config.h"
#include "fencing_engine.h"
#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr char kKeyOfZ[] = "op/evacuate/z";
// The target from the update to the last request; the bound is 5,000 ms.
constexpr Millis kTarget{1000};
constexpr Millis kBound{5000};

// From the start of an instance until it may send orders to an engine.
constexpr Millis kUntilOwned{5500};

// "i-1" is in zone z, "i-2" in zone y.
struct TwoZones : Fixture {
  explicit TwoZones(const std::string& second_zone = "y") {
    store.Put("servers/i-2",
              fmt::format(R"({{"service":"s","addr":"{}","zone":"{}",
                "capacity":6,"state":"ready","born":1}})",
                          second.address(), second_zone));
    WaitUntilReady();
  }

  // Sends requests until `upstream` gets one; fails after `limit`.
  void WaitUntilUsed(const FakeUpstream& upstream, Millis limit = kBound) {
    size_t before = upstream.requests().size();
    Millis end = EventLoop::Now() + limit;
    while (upstream.requests().size() == before && EventLoop::Now() < end) {
      REQUIRE(SendRequest("/once/x").status == 200);
    }
    REQUIRE(upstream.requests().size() > before);
  }

  // Checks that requests go on, but none to `upstream`.
  void RequireUnused(const FakeUpstream& upstream) {
    constexpr int kRequests = 40;
    size_t before = upstream.requests().size();
    for (int i = 0; i < kRequests; ++i) {
      REQUIRE(SendRequest("/once/x").status == 200);
      REQUIRE(SendRequest("/read/x").status == 200);
    }
    REQUIRE(upstream.requests().size() == before);
  }

  std::string Metrics() {
    HttpCall call;
    call.address = ready_address();
    call.target = "/metrics";
    return Send(std::move(call)).body;
  }
};

}  // namespace

// Guards against: requests go on to an evacuated zone, or none goes there after
// the evacuation.
TEST_CASE("no request goes to an evacuated zone", "[evacuation]") {
  TwoZones fixture;
  fixture.WaitUntilUsed(fixture.first);
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.store.Put("op/evacuate/nowhere", "not json");
  fixture.WaitFor(kTarget);
  fixture.RequireUnused(fixture.first);
  REQUIRE(fixture.Metrics().find("zones_evacuated 2\n") != std::string::npos);
  fixture.store.Remove(kKeyOfZ);
  fixture.WaitUntilUsed(fixture.first);
}

// Guards against: a follower is not told of an evacuation or of its end.
TEST_CASE("an instance that follows a reader evacuates", "[evacuation]") {
  TwoZones fixture;
  std::unique_ptr<Gateway> other = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  fixture.WaitUntilUsed(fixture.first);
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.WaitFor(kTarget);
  fixture.RequireUnused(fixture.first);
  fixture.store.Remove(kKeyOfZ);
  fixture.WaitUntilUsed(fixture.first);
}

// Guards against: an instance that missed the beginning or the end of an
// evacuation never learns of it.
TEST_CASE("a full read begins and ends an evacuation", "[evacuation]") {
  TwoZones fixture;
  auto write_unseen = [&](const std::function<void()>& write) {
    fixture.store.SetUnavailable(true);
    fixture.WaitFor(Millis(500));
    write();
    fixture.store.DropHistory();
    fixture.store.SetUnavailable(false);
    fixture.WaitFor(kTarget);
    fixture.WaitForStatus(200);
  };
  write_unseen([&] { fixture.store.Put(kKeyOfZ, "{}"); });
  fixture.RequireUnused(fixture.first);
  SECTION("the key is gone") {
    write_unseen([&] { fixture.store.Remove(kKeyOfZ); });
    fixture.WaitUntilUsed(fixture.first);
  }
  SECTION("the store comes back from a copy without the key") {
    fixture.store.Remove(kKeyOfZ);
    fixture.store.TakeCopy();
    fixture.store.Put(kKeyOfZ, "{}");
    fixture.WaitFor(kTarget);
    fixture.store.RestoreCopy();
    fixture.WaitUntilUsed(fixture.first);
  }
}

// Guards against: callers wait in vain when nothing is left outside.
TEST_CASE("without a zone that is not evacuated, requests are rejected at once",
          "[evacuation]") {
  TwoZones fixture("z");
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.WaitFor(kTarget);
  for (const char* path : {"/once/x", "/read/x", "/stream/x", "/resume/x"}) {
    Millis begin = EventLoop::Now();
    CallOutcome outcome = fixture.SendRequest(path);
    REQUIRE(outcome.status == 503);
    REQUIRE_FALSE(outcome.headers.Get("Retry-After").empty());
    REQUIRE(outcome.body.find(R"("not_run":"true")") != std::string::npos);
    // Without an upstream, requests wait for longer than the goal of 300 ms.
    REQUIRE(EventLoop::Now() - begin < Millis(250));
  }
  REQUIRE(fixture.Metrics().find("refused_zones_evacuated_total 4\n") !=
          std::string::npos);
  fixture.store.Remove(kKeyOfZ);
  fixture.WaitForStatus(200);
}

// Guards against: the evacuation ends what runs, or a retry goes back there.
TEST_CASE("a request that runs in an evacuated zone ends there",
          "[evacuation]") {
  TwoZones fixture;
  fixture.store.Put("op/evacuate/y", "{}");
  fixture.WaitFor(kTarget);
  Responder* held = nullptr;
  std::string id;
  fixture.first.SetHandler([&](const HttpRequest& request, Responder* to) {
    held = to;
    id = request.headers.Get("Request-Id");
  });
  std::optional<CallOutcome> outcome;
  HttpCall call = fixture.CallTo("/once/x", "k1");
  call.on_done = [&](CallOutcome done) { outcome = std::move(done); };
  fixture.control()->Start(std::move(call));
  fixture.WaitUntil([&] { return held != nullptr; });
  fixture.store.Remove("op/evacuate/y");
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.WaitFor(kTarget);
  HttpRequest request;
  request.headers.Add("Request-Id", id);
  HttpResponse response = FakeUpstream::OkResponse(request);
  SECTION("it is answered") {
    held->Send(response);
    fixture.WaitUntil([&] { return outcome.has_value(); });
    REQUIRE(outcome->status == 200);
  }
  SECTION("it is turned away and goes elsewhere") {
    response.status = 503;
    response.headers.Add("Not-Run", "1");
    held->Send(response);
    fixture.WaitUntil([&] { return outcome.has_value(); });
    REQUIRE(outcome->status == 200);
    REQUIRE(fixture.second.requests().size() == 1);
    REQUIRE(fixture.first.requests().size() == 1);
  }
}

// Guards against: a request that waits for the turn of its permit is sent to a
// zone that was evacuated meanwhile, or waits for the turn first.
TEST_CASE("a request with a permit in an evacuated zone chooses again",
          "[evacuation]") {
  constexpr Millis kTurn{1600};  // With a limit of 0.6 in a second.
  TwoZones fixture("z");
  fixture.store.Remove("servers/i-2");
  fixture.WaitFor(Millis(500));
  fixture.first.SetHandler([](const HttpRequest& request, Responder* to) {
    HttpResponse response = FakeUpstream::OkResponse(request);
    response.headers.Add("Server-Limit", "0.6");
    to->Send(std::move(response));
  });
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  Millis begin = EventLoop::Now();
  std::optional<CallOutcome> outcome;
  HttpCall call = fixture.CallTo("/once/x", "k1");
  call.on_done = [&](CallOutcome done) { outcome = std::move(done); };
  fixture.control()->Start(std::move(call));
  fixture.WaitFor(Millis(100));
  REQUIRE_FALSE(outcome.has_value());
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.WaitUntil([&] { return outcome.has_value(); });
  REQUIRE(outcome->status == 503);
  REQUIRE(EventLoop::Now() - begin < kTurn);
  REQUIRE(fixture.first.requests().size() == 1);
}

// Guards against: a request that waits for an adapter or a prefill grant in a
// zone that is evacuated meanwhile is sent there, or waits on.
TEST_CASE(
    "a request that waits for an engine in an evacuated zone chooses again",
    "[evacuation]") {
  Fixture fixture;
  FencingEngine engine;
  int orders = 0;
  int received = 0;
  bool loads = false;
  fixture.first.SetHandler([&](const HttpRequest& request, Responder* to) {
    bool is_order = request.path == "/order";
    orders += is_order ? 1 : 0;
    bool is_request = request.path == "/ask/x";
    received += is_request ? 1 : 0;
    // Requests stay without a response, and so do orders unless it loads.
    if (!is_request && (loads || !is_order)) {
      engine.Handle(request, to);
    }
  });
  fixture.store.Put("op/config", kStreamEngineConfig);
  fixture.store.Put("servers/e-1", engine.Entry(fixture.first.address()));
  fixture.WaitUntilReady();
  fixture.WaitFor(kUntilOwned);
  std::vector<int> statuses;
  auto send = [&] {
    HttpCall call = fixture.CallTo("/ask/x", "k1");
    call.headers.Add("Model", "m/a1");
    call.headers.Add("Tokens", "5000,5");
    call.on_done = [&](const CallOutcome& outcome) {
      statuses.push_back(outcome.status);
    };
    fixture.control()->Start(std::move(call));
  };
  SECTION("for an adapter") {
    send();
    fixture.WaitUntil([&] { return orders > 0; });
  }
  SECTION("for a prefill grant") {
    loads = true;
    send();
    fixture.WaitUntil([&] { return received == 1; });
    send();
    fixture.WaitFor(Millis(300));
  }
  int received_before = received;
  REQUIRE(statuses.empty());
  Millis begin = EventLoop::Now();
  fixture.store.Put(kKeyOfZ, "{}");
  fixture.WaitUntil([&] { return !statuses.empty(); });
  REQUIRE(statuses == std::vector<int>{503});
  REQUIRE(EventLoop::Now() - begin < kTarget);
  REQUIRE(received == received_before);
}

}  // namespace bilberrypitch
