// Tests of upstreams that state how many requests a second they take.
#include <algorithm>
#include <catch2/catch.hpp>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

// What an upstream may get beyond the limit that it states.
constexpr double kWindowS = 4;
constexpr double kExcessFactor = 1.5;
constexpr double kExtraRequests = 5;
// Within this time after the first statement nothing is counted.
constexpr Millis kNewsTime{3000};

// Returns the most requests in any window that begins at `from` or later.
size_t MostInWindow(const std::vector<Millis>& arrivals, Millis from) {
  size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    Millis end = *first + Millis(static_cast<int64_t>(kWindowS * 1000));
    auto last = std::find_if(first, arrivals.end(),
                             [end](Millis at) { return at >= end; });
    if (*first >= from) {
      most = std::max(most, static_cast<size_t>(last - first));
    }
  }
  return most;
}

// Answers with the limit and remembers when requests arrived.
FakeUpstream::Handler Limited(const std::string& limit,
                              std::vector<Millis>* arrivals) {
  return [=](const HttpRequest& request, Responder* responder) {
    arrivals->push_back(EventLoop::Now());
    HttpResponse response = FakeUpstream::OkResponse(request);
    response.headers.Add("Server-Limit", limit);
    responder->Send(std::move(response));
  };
}

}  // namespace

// Guards against: an upstream gets far more requests than the limit that it
// states, since nothing reads it or each instance keeps to it by itself.
TEST_CASE("all instances together keep to the rate limit of an upstream",
          "[limit]") {
  constexpr double kLimit = 2;
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  std::string first_instance = fixture.caller_address();
  std::unique_ptr<Gateway> other = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  std::string second_instance = fixture.caller_address();
  std::vector<Millis> arrivals;
  fixture.first.SetHandler(Limited("2.0", &arrivals));
  Millis begin = EventLoop::Now();
  Millis end = begin + kNewsTime + Millis(5500);
  for (int i = 0; EventLoop::Now() < end; ++i) {
    HttpCall call = fixture.CallTo("/once/x", "k1");
    call.address = i % 2 == 0 ? first_instance : second_instance;
    Millis sent_at = EventLoop::Now();
    int status = fixture.Send(std::move(call)).status;
    REQUIRE(status == 200);
    // The other upstream takes at once what this one doesn't.
    REQUIRE(EventLoop::Now() - sent_at < Millis(500));
    fixture.WaitFor(Millis(10));
  }
  size_t most = MostInWindow(arrivals, begin + kNewsTime);
  REQUIRE(static_cast<double>(most) <=
          kExcessFactor * kLimit * kWindowS + kExtraRequests);
  // The limit is used, too.
  REQUIRE(static_cast<double>(most) >= 0.75 * kLimit * kWindowS);
}

TEST_CASE("the rate limit of an upstream ends when it states none", "[limit]") {
  Fixture fixture;
  fixture.WaitUntilReady();
  std::vector<Millis> arrivals;
  fixture.first.SetHandler(Limited("4", &arrivals));
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  fixture.first.SetHandler(
      [](const HttpRequest& request, Responder* responder) {
        responder->Send(FakeUpstream::OkResponse(request));
      });
  // It is the only upstream, so this waits for its turn.
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  Millis begin = EventLoop::Now();
  for (int i = 0; i < 20; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == 200);
  }
  REQUIRE(EventLoop::Now() - begin < Millis(1000));
}

TEST_CASE("a request that a rate limit leaves no time for is rejected at once",
          "[limit]") {
  Fixture fixture;
  fixture.WaitUntilReady();
  std::vector<Millis> arrivals;
  fixture.first.SetHandler(Limited("0.1", &arrivals));
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  Millis begin = EventLoop::Now();
  CallOutcome outcome = fixture.SendRequest("/once/x");
  REQUIRE(outcome.status == 503);
  REQUIRE(std::stod(std::string(outcome.headers.Get("Retry-After"))) > 2);
  REQUIRE(EventLoop::Now() - begin < Millis(500));
  REQUIRE(arrivals.size() == 1);
}

}  // namespace bilberrypitch
