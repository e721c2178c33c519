// Tests of upstreams that send bytes of an earlier response once more on a
// connection that is in use again.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

// Time for the gateway to act on what it has read before more follows.
constexpr std::chrono::milliseconds kPause{30};

std::string IdLine(const std::string& id) {
  return "Request-Id: " + id + "\r\n";
}

std::string RejectionText(const std::string& status, const std::string& id) {
  return ResponseText(status, IdLine(id) + "Not-Run: 1\r\n", "not run");
}

std::string SignedText(const std::string& id) {
  return ResponseText("200 OK", IdLine(id) + "Answer-Stamp: stamp\r\n", "done");
}

}  // namespace

// Guards against: a request that the upstream runs is taken for rejected, and
// runs twice.
TEST_CASE("a late copy of a rejection is not taken for one of the repetition",
          "[kept]") {
  const std::string status =
      GENERATE("421 Misdirected", "503 Busy", "429 Slow");
  CAPTURE(status);
  RunCounter runs;
  std::atomic<bool> rejected = false;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        connection->Write(connection->last_response);
        connection->last_response.clear();
        if (!rejected.exchange(true)) {
          connection->last_response = RejectionText(status, request.id);
          connection->Write(connection->last_response);
          return;
        }
        runs.Add(request.id);
        std::this_thread::sleep_for(kPause);
        connection->Write(SignedText(request.id));
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  CallOutcome outcome = fixture.SendRequest("/once/x");
  REQUIRE(outcome.status == 200);
  REQUIRE(runs.Of(std::string(outcome.headers.Get("Request-Id"))) == 1);
}

}  // namespace bilberrypitch
