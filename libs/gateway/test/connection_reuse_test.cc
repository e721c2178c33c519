// Tests of which connections to an upstream are used again.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

constexpr std::chrono::milliseconds kLate{30};
constexpr Millis kCopyArrives{100};

std::string SignedHead(const std::string& id) {
  return "Request-Id: " + id + "\r\nAnswer-Stamp: stamp\r\n";
}

}  // namespace

// Guards against: a request meets the late copy of an answer on a connection to
// an upstream of which a copy was seen on an idle one.
TEST_CASE("bytes on an idle connection end the reuse of the upstream's",
          "[reuse]") {
  constexpr int kLaterRequests = 4;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        const std::string answer =
            ResponseText("200 OK", SignedHead(request.id), "abc");
        connection->Write(answer);
        std::this_thread::sleep_for(kLate);
        connection->Write(answer);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  fixture.WaitFor(kCopyArrives);
  for (int i = 0; i < kLaterRequests; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == 200);
  }
  REQUIRE(upstream.connections() == kLaterRequests + 1);
}

// Guards against: a sound upstream whose plain answers are chunked loses one
// that arrives on a connection that a stream has used, or new connections for
// each of its streams.
TEST_CASE("a sound upstream with chunked plain answers is served", "[reuse]") {
  constexpr int kRounds = 5;
  ScriptedUpstream upstream([&](ScriptedConnection* connection,
                                const ScriptedRequest& request) {
    const std::string body =
        request.path.starts_with("/stream/") ? "id: 1\ndata: a\n\n" : "answer";
    connection->Write(
        "HTTP/1.1 200 OK\r\n" + SignedHead(request.id) +
        "Transfer-Encoding: chunked\r\n\r\n" +
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body));
  });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/stream/x").status == 200);
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    REQUIRE(fixture.SendRequest("/once/x").status == 200);
    REQUIRE(fixture.SendRequest("/stream/x").status == 200);
  }
  // One for the first stream, one for each plain answer.
  REQUIRE(upstream.connections() <= 1 + kRounds);
}

}  // namespace bilberrypitch
