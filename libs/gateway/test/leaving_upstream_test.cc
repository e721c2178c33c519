// Tests of upstreams that state in their responses that they leave, while their
// entry in the store still says that they are ready.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "counting_store.h"
#include "engine_config.h"
#include "fencing_engine.h"
#include "gateway_fixture.h"
#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

constexpr int kOkStatus = 200;
constexpr int kUnavailableStatus = 503;
constexpr int kRequests = 30;
constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
// A caller that can't be served is told so without waiting.
constexpr Millis kAtOnce{200};
// Longer than a message between instances takes.
constexpr Millis kNewsTime{300};

// What an upstream that leaves sends in response to a request.
enum class LastWords : uint8_t {
  kSuccess,
  kRejection,
  kFailure,
  kBrokenBody,
  kStream,
  kBrokenStream,
};

void SendLastWords(LastWords words, ScriptedConnection* connection,
                   const ScriptedRequest& request) {
  const std::string names = "Request-Id: " + request.id + "\r\n" + kLeaving;
  const std::string stamped = names + "Answer-Stamp: stamp\r\n";
  const std::string stream_head = "HTTP/1.1 200 OK\r\n" + stamped +
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";
  const std::string event = "f\r\nid: 1\ndata: a\n\n\r\n";
  asio::error_code ec;
  switch (words) {
    case LastWords::kSuccess:
      connection->Write(ResponseText("200 OK", stamped, "answer"));
      break;
    case LastWords::kRejection:
      connection->Write(
          ResponseText("503 Full", names + "Not-Run: 1\r\n", "full"));
      break;
    case LastWords::kFailure:
      connection->Write(ResponseText("500 Failed", stamped, "failed"));
      break;
    case LastWords::kBrokenBody:
      connection->Write("HTTP/1.1 200 OK\r\n" + stamped +
                        "Content-Length: 100\r\n\r\nanswer");
      connection->socket.close(ec);
      break;
    case LastWords::kStream:
      connection->Write(stream_head + event + "0\r\n\r\n");
      break;
    case LastWords::kBrokenStream:
      connection->Write(stream_head + event);
      connection->socket.close(ec);
      break;
  }
}

bool IsStream(LastWords words) {
  return words == LastWords::kStream || words == LastWords::kBrokenStream;
}

// An upstream that leaves, "i-1", beside a sound one, "i-2".
struct LeavingFixture : Fixture {
  explicit LeavingFixture(LastWords words)
      : path(IsStream(words) ? "/stream/x" : "/once/x"),
        leaving([this, words](ScriptedConnection* connection,
                              const ScriptedRequest& request) {
          ++requests_there;
          SendLastWords(words, connection, request);
        }) {
    PutUpstream("i-1", leaving.address(), "ready");
    PutUpstream("i-2", second.address(), "ready");
    second.SetHandler([](const HttpRequest& request, Responder* responder) {
      HttpResponse response = FakeUpstream::OkResponse(request);
      if (request.path == "/stream/x") {
        response.body = "id: 1\ndata: a\n\n";
      }
      responder->Send(std::move(response));
    });
    WaitUntilReady();
  }

  // Sends requests until one has reached the upstream that leaves.
  void SendUntilItHasSaidSo() {
    Millis end = EventLoop::Now() + Millis(5000);
    while (requests_there == 0 && EventLoop::Now() < end) {
      SendRequest(path);
    }
    REQUIRE(requests_there == 1);
  }

  void SendManyThatAreServed() {
    for (int i = 0; i < kRequests; ++i) {
      REQUIRE(SendRequest(path).status == kOkStatus);
    }
  }

  const std::string path;
  std::atomic<int> requests_there = 0;
  ScriptedUpstream leaving;
};

}  // namespace

// Guards against: requests go on to an upstream whose response said that it
// leaves, until its entry says so too.
TEST_CASE("an upstream that says that it leaves gets no further request",
          "[leaving]") {
  const LastWords words = GENERATE(
      LastWords::kSuccess, LastWords::kRejection, LastWords::kFailure,
      LastWords::kBrokenBody, LastWords::kStream, LastWords::kBrokenStream);
  CAPTURE(static_cast<int>(words));
  LeavingFixture fixture(words);
  fixture.SendUntilItHasSaidSo();
  fixture.SendManyThatAreServed();
  REQUIRE(fixture.requests_there == 1);
}

// Guards against: what the response said is forgotten without the store, or
// when the entry of the same start is written once more.
TEST_CASE("an upstream leaves until a new start of it is seen", "[leaving]") {
  const bool store_is_away = GENERATE(false, true);
  CAPTURE(store_is_away);
  LeavingFixture fixture(LastWords::kSuccess);
  fixture.SendUntilItHasSaidSo();
  if (store_is_away) {
    fixture.store.SetUnavailable(true);
    fixture.SendManyThatAreServed();
  } else {
    fixture.PutUpstream("i-1", fixture.leaving.address(), "ready");
    fixture.WaitFor(kNewsTime);
    fixture.SendManyThatAreServed();
    fixture.store.Remove("servers/i-1");
    fixture.WaitFor(kNewsTime);
    fixture.PutUpstream("i-1", fixture.leaving.address(), "ready");
    fixture.WaitFor(kNewsTime);
    fixture.SendManyThatAreServed();
  }
  REQUIRE(fixture.requests_there == 1);
  if (!store_is_away) {
    constexpr int kLaterStart = 2;
    fixture.PutUpstream("i-1", fixture.second.address(), "ready", kLaterStart);
    fixture.store.Remove("servers/i-2");
    fixture.WaitFor(kNewsTime);
    fixture.SendManyThatAreServed();
  }
}

// Guards against: an entry that is written late puts an upstream that drains
// back into use.
TEST_CASE("an upstream that drains doesn't become ready in the same start",
          "[leaving]") {
  Fixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  fixture.PutUpstream("i-1", fixture.first.address(), "draining");
  fixture.WaitFor(kNewsTime);
  fixture.PutUpstream("i-1", fixture.first.address(), "ready");
  fixture.WaitFor(kNewsTime);
  size_t before = fixture.first.requests().size();
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
  }
  REQUIRE(fixture.first.requests().size() == before);
}

// Guards against: a caller waits, or is sent to an upstream that leaves, where
// there is no other.
TEST_CASE("a request that only leaving upstreams could serve is rejected",
          "[leaving]") {
  LeavingFixture fixture(LastWords::kSuccess);
  fixture.store.Remove("servers/i-2");
  fixture.SendUntilItHasSaidSo();
  fixture.WaitFor(kNewsTime);
  for (int i = 0; i < 5; ++i) {
    Millis begin = EventLoop::Now();
    CallOutcome outcome = fixture.SendRequest(fixture.path);
    REQUIRE(outcome.status == kUnavailableStatus);
    REQUIRE_FALSE(outcome.headers.Get("Retry-After").empty());
    REQUIRE(EventLoop::Now() - begin < kAtOnce);
  }
  REQUIRE(fixture.requests_there == 1);
}

// Guards against: each instance has to ask an upstream that leaves before it
// knows.
TEST_CASE("instances hear from each other that an upstream leaves",
          "[leaving]") {
  LeavingFixture fixture(LastWords::kSuccess);
  CountingStore access(&fixture.loop, &fixture.store);
  std::string first_instance = fixture.caller_address();
  std::unique_ptr<Gateway> other = fixture.StartSecond(&access);
  fixture.WaitUntilReady();
  fixture.WaitFor(kNewsTime);
  Millis end = EventLoop::Now() + Millis(5000);
  while (fixture.requests_there == 0 && EventLoop::Now() < end) {
    HttpCall call = fixture.CallTo(fixture.path, "k1");
    call.address = first_instance;
    fixture.Send(std::move(call));
  }
  REQUIRE(fixture.requests_there == 1);
  fixture.WaitFor(kNewsTime);
  fixture.SendManyThatAreServed();
  REQUIRE(fixture.requests_there == 1);
}

// Guards against: an instance that orders an engine, or asks it for a report,
// overlooks that it leaves.
TEST_CASE("an engine says in a response to its owner that it leaves",
          "[leaving]") {
  Fixture fixture;
  FencingEngine engine;
  bool leaves = false;
  int requests_after = 0;
  fixture.first.SetHandler(
      [&](const HttpRequest& request, Responder* responder) {
        if (!leaves) {
          engine.Handle(request, responder);
          return;
        }
        bool is_control = request.path == "/report" || request.path == "/order";
        requests_after += is_control ? 0 : 1;
        HttpResponse response = FakeUpstream::OkResponse(request);
        response.status = kUnavailableStatus;
        response.headers.Add("Server-Leaving", "1");
        responder->Send(std::move(response));
      });
  fixture.store.Put("op/config", kEngineConfig);
  fixture.store.Put("servers/e-1", engine.Entry(fixture.first.address()));
  fixture.store.Remove("servers/i-1");
  fixture.WaitUntilReady();
  auto ask = [&](const std::string& adapter) {
    HttpCall call = fixture.CallTo("/ask/x", "k1");
    call.headers.Add("Model", "m/" + adapter);
    call.headers.Add("Tokens", "10,5");
    return fixture.Send(std::move(call)).status;
  };
  Millis end = EventLoop::Now() + Millis(12 * 1000);
  while (ask("a1") != kOkStatus && EventLoop::Now() < end) {
  }
  leaves = true;
  // The order for another adapter is what tells.
  ask("a2");
  fixture.WaitFor(kNewsTime);
  REQUIRE(ask("a1") == kUnavailableStatus);
  REQUIRE(requests_after == 0);
}

}  // namespace bilberrypitch
