// Tests of streams that break off and are resumed at another upstream.
#include <catch2/catch.hpp>
#include <string>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr char kFirstEvent[] = "id: 1\ndata: a\n\n";
constexpr char kErrorText[] = "data: an error\n\n";

HttpResponse SignedResponse(const HttpRequest& request, int status) {
  HttpResponse response = FakeUpstream::OkResponse(request);
  response.status = status;
  response.body = kErrorText;
  return response;
}

// The first attempt breaks off after one event; `answer_next` answers the
// others. Returns what the caller gets.
CallOutcome RunBrokenStream(const FakeUpstream::Handler& answer_next) {
  Fixture fixture;
  int attempts = 0;
  auto handler = [&](const HttpRequest& request, Responder* responder) {
    if (++attempts > 1) {
      answer_next(request, responder);
      return;
    }
    responder->StartStream(200, FakeUpstream::OkResponse(request).headers);
    responder->Write(kFirstEvent);
    responder->AbortStream();
  };
  fixture.first.SetHandler(handler);
  fixture.second.SetHandler(handler);
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  CallOutcome outcome = fixture.SendRequest("/resume/x");
  REQUIRE(attempts >= 2);
  return outcome;
}

}  // namespace

// Guards against: a stream that broke off ends as if it were complete, or goes
// on with the text of an error.
TEST_CASE("a stream that an error follows is broken off", "[resume]") {
  const int status = GENERATE(302, 400, 404, 409, 429, 500, 502, 503);
  CAPTURE(status);
  CallOutcome outcome =
      RunBrokenStream([&](const HttpRequest& request, Responder* responder) {
        responder->Send(SignedResponse(request, status));
      });
  REQUIRE(outcome.result == CallResult::kConnectionBroken);
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == kFirstEvent);
}

TEST_CASE("a stream that a rejection or an unsigned response follows is broken",
          "[resume]") {
  const int status = GENERATE(200, 404, 421, 503);
  const bool not_run = GENERATE(true, false);
  CAPTURE(status, not_run);
  CallOutcome outcome =
      RunBrokenStream([&](const HttpRequest& request, Responder* responder) {
        HttpResponse response;
        response.status = status;
        response.headers.Add("Request-Id",
                             std::string(request.headers.Get("Request-Id")));
        if (not_run) {
          response.headers.Add("Not-Run", "1");
        }
        response.body = kErrorText;
        responder->Send(std::move(response));
      });
  REQUIRE(outcome.result == CallResult::kConnectionBroken);
  REQUIRE(outcome.body == kFirstEvent);
}

TEST_CASE("a stream goes on at another upstream after its last event",
          "[resume]") {
  std::string resumed_after;
  CallOutcome outcome =
      RunBrokenStream([&](const HttpRequest& request, Responder* responder) {
        resumed_after = std::string(request.headers.Get("Last-Event-Id"));
        responder->StartStream(200, FakeUpstream::OkResponse(request).headers);
        responder->Write("id: 2\ndata: b\n\n");
        responder->EndStream();
      });
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(resumed_after == "1");
  REQUIRE(outcome.body == std::string(kFirstEvent) + "id: 2\ndata: b\n\n");
}

// Guards against: the start of an event of one run is joined with the first
// event of the next, when the first run broke off before any event was whole.
TEST_CASE("a stream that breaks off within its first event begins anew",
          "[resume]") {
  const std::string event = kFirstEvent;
  const size_t cut = GENERATE_COPY(range<size_t>(1, event.size()));
  CAPTURE(event.substr(0, cut));
  Fixture fixture;
  int attempts = 0;
  auto handler = [&](const HttpRequest& request, Responder* responder) {
    bool breaks_off = ++attempts == 1;
    responder->StartStream(200, FakeUpstream::OkResponse(request).headers);
    responder->Write(breaks_off ? event.substr(0, cut) : event);
    if (breaks_off) {
      responder->AbortStream();
    } else {
      responder->EndStream();
    }
  };
  fixture.first.SetHandler(handler);
  fixture.second.SetHandler(handler);
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  CallOutcome outcome = fixture.SendRequest("/resume/x");
  REQUIRE(attempts == 2);
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.body == event);
}

}  // namespace bilberrypitch
