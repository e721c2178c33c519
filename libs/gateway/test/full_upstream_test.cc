// Tests of plain upstreams that reject requests because they are full.
#include <algorithm>
#include <catch2/catch.hpp>
#include <list>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

void RejectAsFull(const HttpRequest& request, Responder* responder) {
  HttpResponse response = FakeUpstream::OkResponse(request);
  response.status = 503;
  response.headers.Add("Not-Run", "1");
  response.headers.Add("Load", "6,0,6");
  responder->Send(std::move(response));
}

// Answers after a time, with this load field.
class SlowHandler {
 public:
  SlowHandler(EventLoop* loop, Millis delay, std::string load)
      : loop_(loop), delay_(delay), load_(std::move(load)) {}

  void operator()(const HttpRequest& request, Responder* responder) {
    HttpResponse response = FakeUpstream::OkResponse(request);
    response.headers.Add("Load", load_);
    timers_->emplace_back(loop_).Start(
        delay_, [responder, response] { responder->Send(response); });
  }

 private:
  EventLoop* const loop_;
  const Millis delay_;
  const std::string load_;
  const std::shared_ptr<std::list<Timer>> timers_ =
      std::make_shared<std::list<Timer>>();
};

}  // namespace

// Guards against: the time of a rejection counts as a latency, so that an
// upstream that is full seems to be the fastest and gets every request first.
TEST_CASE("an upstream that rejects is not taken for a fast one", "[full]") {
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  fixture.first.SetHandler(RejectAsFull);
  fixture.second.SetHandler(SlowHandler(&fixture.loop, Millis(20), "0,0,6"));
  for (int i = 0; i < 20; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == 200);
  }
  REQUIRE(fixture.second.requests().size() == 20);
  REQUIRE(fixture.first.requests().size() <= 5);
}

// Guards against: a request is sent again and again to upstreams that are full,
// or its caller waits.
TEST_CASE("a request that all upstreams reject as full is rejected at once",
          "[full]") {
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  fixture.first.SetHandler(RejectAsFull);
  fixture.second.SetHandler(RejectAsFull);
  Millis begin = EventLoop::Now();
  CallOutcome outcome = fixture.SendRequest("/once/x");
  REQUIRE(outcome.status == 503);
  REQUIRE_FALSE(outcome.headers.Get("Retry-After").empty());
  REQUIRE(EventLoop::Now() - begin < Millis(500));
  REQUIRE(fixture.first.requests().size() == 1);
  REQUIRE(fixture.second.requests().size() == 1);
}

// Guards against: each instance has to find out by itself that an upstream has
// become slow.
TEST_CASE("instances of a zone hear of a slow upstream from each other",
          "[full]") {
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  std::string first_instance = fixture.caller_address();
  std::unique_ptr<Gateway> other = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilReady();
  // Of i-1, by the metrics page of the second instance.
  auto slowdown = [&] {
    constexpr std::string_view kName =
        "bilberrypitch_upstream_slowdown{upstream=\"i-1\"} ";
    HttpCall call;
    call.address = fixture.ready_address();
    call.target = "/metrics";
    std::string page = fixture.Send(std::move(call)).body;
    REQUIRE(page.find(kName) != std::string::npos);
    return std::stod(page.substr(page.find(kName) + kName.size()));
  };
  REQUIRE(slowdown() == 1);
  auto send_until = [&](auto done) {
    Millis end = EventLoop::Now() + Millis(5000);
    while (!done() && EventLoop::Now() < end) {
      HttpCall call = fixture.CallTo("/once/x", "k1");
      call.address = first_instance;
      int status = fixture.Send(std::move(call)).status;
      REQUIRE(status == 200);
    }
  };
  fixture.first.SetHandler(SlowHandler(&fixture.loop, Millis(20), "1,0,6,900"));
  fixture.second.SetHandler(SlowHandler(&fixture.loop, Millis(2), "1,0,6,100"));
  send_until([&] { return slowdown() > 5; });
  REQUIRE(slowdown() > 5);
  fixture.first.SetHandler(SlowHandler(&fixture.loop, Millis(2), "1,0,6,100"));
  send_until([&] { return slowdown() < 1.5; });
  REQUIRE(slowdown() < 1.5);
}

}  // namespace bilberrypitch
