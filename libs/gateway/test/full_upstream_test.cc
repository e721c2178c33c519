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

}  // namespace bilberrypitch
