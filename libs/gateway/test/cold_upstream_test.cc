// Tests of instances whose upstreams are cold.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "fencing_engine.h"
#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr double kColdPerS = 3;
constexpr double kBoundPerS = kColdPerS * 1.5 + 5;
constexpr char kColdService[] = R"(,"coldS":6,"coldPerS":3)";
// From its start until an instance issues permits for cold upstreams.
constexpr Millis kUntilIssuing{7500};

constexpr char kEngineConfig[] = R"({"version":3,"routes":[
  {"name":"ask","host":"h","prefix":"/ask/","kind":"idempotent",
   "timeoutMs":8000,"goalMs":300,"attempts":2,"service":"llm"}],
  "services":[{"name":"llm","coldS":20,"coldPerS":3,
    "engine":{"capacity":8,"kvTokens":1000,
    "weightsMb":100,"adapterSlots":4,"loadsPerS":10,"models":[
      {"name":"m","weightsMb":80,"loadS":0.1,"adapters":10,
       "adapterMb":1}]}}],
  "tenants":[{"name":"w","apiKeys":["k1"]}]})";

size_t MostInOneSecond(const std::vector<Millis>& arrivals) {
  size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    Millis end = *first + Millis(1000);
    auto last = std::find_if(first, arrivals.end(),
                             [end](Millis at) { return at >= end; });
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

// "i-1" in zone z may be cold, "i-2" in zone y is warm.
struct ColdFixture : Fixture {
  ColdFixture() {
    PutConfig(2, "\"k1\"", kColdService);
    Put("i-2", second.address(), "y", 0);
    first.SetHandler([this](const HttpRequest& request, Responder* to) {
      arrivals.push_back(EventLoop::Now());
      to->Send(FakeUpstream::OkResponse(request));
    });
    WaitUntilReady();
  }

  void Put(const std::string& id, const std::string& address,
           const std::string& zone, int cold_left_ms) {
    store.Put("servers/" + id,
              fmt::format(R"({{"service":"s","addr":"{}","zone":"{}",
                "capacity":6,"state":"ready","born":1,"coldLeftMs":{}}})",
                          address, zone, cold_left_ms));
  }
  void PutFirst(int cold_left_ms) {
    Put("i-1", first.address(), "z", cold_left_ms);
  }

  // Sends requests one after the other, alternately to these instances.
  void SendFor(Millis duration, const std::vector<std::string>& instances) {
    Millis end = EventLoop::Now() + duration;
    for (size_t i = 0; EventLoop::Now() < end; ++i) {
      HttpCall call = CallTo("/once/x", "k1");
      call.address = instances[i % instances.size()];
      int status = Send(std::move(call)).status;
      REQUIRE(status == 200);
    }
  }

  std::vector<Millis> arrivals;
};

}  // namespace

// Guards against: a cold upstream gets the usual share of the requests, from
// one instance or from each.
TEST_CASE("all instances together spare a cold upstream", "[cold]") {
  ColdFixture fixture;
  std::vector<std::string> instances{fixture.caller_address()};
  std::unique_ptr<Gateway> other = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  instances.push_back(fixture.caller_address());
  fixture.WaitFor(kUntilIssuing);
  fixture.PutFirst(20000);
  fixture.WaitFor(Millis(1000));
  fixture.SendFor(Millis(4000), instances);
  REQUIRE(static_cast<double>(MostInOneSecond(fixture.arrivals)) <= kBoundPerS);
  // What it bears is used.
  REQUIRE(fixture.arrivals.size() >= 3);
  // The reader tells the other instance that it is warm.
  fixture.PutFirst(0);
  fixture.WaitFor(Millis(1000));
  fixture.arrivals.clear();
  fixture.SendFor(Millis(1000), {instances[1]});
  REQUIRE(static_cast<double>(fixture.arrivals.size()) > 2 * kBoundPerS);
}

// Guards against: an upstream stays cold although its time is over.
TEST_CASE("the cold time ends without another entry", "[cold]") {
  ColdFixture fixture;
  fixture.PutFirst(2000);
  fixture.WaitFor(Millis(700));
  fixture.SendFor(Millis(500), {fixture.caller_address()});
  REQUIRE(static_cast<double>(fixture.arrivals.size()) <= kBoundPerS);
  fixture.WaitFor(Millis(2000));
  fixture.SendFor(Millis(1000), {fixture.caller_address()});
  REQUIRE(static_cast<double>(fixture.arrivals.size()) > 2 * kBoundPerS);
}

// Guards against: all traffic returns at once to a zone whose upstreams may
// have become cold while it was evacuated.
TEST_CASE("after an evacuation upstreams are spared until their next entry",
          "[cold][evacuation]") {
  ColdFixture fixture;
  fixture.PutFirst(0);
  fixture.store.Put("op/evacuate/z", "{}");
  fixture.WaitFor(Millis(1000));
  fixture.arrivals.clear();
  fixture.store.Remove("op/evacuate/z");
  fixture.SendFor(Millis(2000), {fixture.caller_address()});
  REQUIRE(static_cast<double>(MostInOneSecond(fixture.arrivals)) <= kBoundPerS);
  fixture.PutFirst(0);
  fixture.WaitFor(Millis(1000));
  fixture.arrivals.clear();
  fixture.SendFor(Millis(1000), {fixture.caller_address()});
  REQUIRE(static_cast<double>(fixture.arrivals.size()) > 2 * kBoundPerS);
}

// Guards against: a request whose adapter a cold engine has yet to load uses up
// permits while it waits, or is sent without one.
TEST_CASE("a cold engine loads adapters for the requests that it gets",
          "[cold]") {
  constexpr int kRequests = 12;
  ColdFixture fixture;
  FencingEngine engine;
  fixture.first.SetHandler([&](const HttpRequest& request, Responder* to) {
    if (request.path == "/ask/x") {
      fixture.arrivals.push_back(EventLoop::Now());
    }
    engine.Handle(request, to);
  });
  std::string entry = engine.Entry(fixture.first.address());
  fixture.store.Put("op/config", kEngineConfig);
  fixture.store.Put("servers/e-1", entry);
  fixture.WaitFor(kUntilIssuing);
  entry.insert(1, R"("coldLeftMs":20000,)");
  fixture.store.Put("servers/e-1", entry);
  fixture.WaitFor(Millis(700));
  int ended = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    HttpCall call = fixture.CallTo("/ask/x", "k1");
    call.headers.Add("Model", fmt::format("m/a{}", i % 3));
    call.headers.Add("Tokens", "10,5");
    call.on_done = [&](const CallOutcome& outcome) {
      ++ended;
      served += outcome.status == 200 ? 1 : 0;
      REQUIRE((outcome.status == 200 || outcome.status == 503));
    };
    fixture.control()->Start(std::move(call));
    fixture.WaitFor(Millis(250));
  }
  fixture.WaitUntil([&] { return ended == kRequests; });
  REQUIRE(static_cast<double>(MostInOneSecond(fixture.arrivals)) <= kBoundPerS);
  REQUIRE(served >= 3);
}

// Guards against: deployments without a cold rate are treated differently.
TEST_CASE("without a cold rate the time is ignored", "[cold]") {
  ColdFixture fixture;
  fixture.PutConfig(3, "\"k1\"");
  fixture.PutFirst(20000);
  fixture.WaitFor(Millis(1000));
  fixture.SendFor(Millis(1000), {fixture.caller_address()});
  REQUIRE(static_cast<double>(fixture.arrivals.size()) > 2 * kBoundPerS);
}

}  // namespace bilberrypitch
