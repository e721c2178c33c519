// Tests of upstreams that send bytes of an earlier response once more on a
// connection that is in use again.
#include <algorithm>
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

namespace {

// When the bytes of the earlier response arrive.
enum class CopyTime : uint8_t { kWithAnswer, kWithNextAnswer };

std::string ChunkedText(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
}

// The responses of which a part is sent once more.
std::vector<std::string> EarlierResponses(const std::string& id) {
  const std::string fields = IdLine(id) + "Answer-Stamp: stamp\r\n";
  return {RejectionText("503 Busy", id), ResponseText("200 OK", fields, "done"),
          ChunkedText("200 OK", fields),
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Run: 1\r\n" +
              IdLine(id) + "\r\n"};
}

}  // namespace

// Guards against: the status or fields of a broken-off copy are read as part of
// the next response (a success in place of a failure, a run taken for
// rejected).
TEST_CASE("a part of an earlier response is never taken for the next one",
          "[kept]") {
  const size_t kind = GENERATE(0U, 1U, 2U, 3U);
  const CopyTime time =
      GENERATE(CopyTime::kWithAnswer, CopyTime::kWithNextAnswer);
  RunCounter runs;
  std::atomic<size_t> cut = 0;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        runs.Add(request.id);
        const bool fails = request.path == "/once/fails";
        std::string answer = ResponseText(
            fails ? "500 Failed" : "200 OK",
            IdLine(request.id) + "Answer-Stamp: stamp\r\n", request.body);
        std::string copy = std::exchange(connection->last_response, "");
        if (request.path == "/once/copy") {
          copy = EarlierResponses(request.id)[kind];
          const size_t at = std::min<size_t>(cut, copy.size());
          bool with_answer = time == CopyTime::kWithAnswer;
          connection->last_response =
              with_answer ? copy.substr(at) : copy.substr(0, at);
          connection->Write(answer + (with_answer ? copy.substr(0, at) : ""));
          return;
        }
        connection->Write(copy);
        connection->Write(answer);
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  const size_t size = EarlierResponses("id1000")[kind].size();
  for (cut = 1; cut <= size; ++cut) {
    CAPTURE(kind, static_cast<int>(time), cut.load());
    for (const char* path : {"/once/copy", "/once/fails", "/once/works"}) {
      HttpCall call = fixture.CallTo(path, "k1");
      std::string id(call.headers.Get("Request-Id"));
      call.body = "body of " + id;
      CallOutcome outcome = fixture.Send(call);
      int expected = std::string(path) == "/once/fails" ? 500 : 200;
      CAPTURE(path, outcome.status);
      REQUIRE((outcome.status == expected || outcome.status == 502));
      REQUIRE(runs.Of(id) <= 1);
      REQUIRE((outcome.status == 502 || outcome.body == "body of " + id));
    }
  }
}

// Guards against: a rejection that names no request is taken for the answer to
// the next one, although that one runs.
TEST_CASE(
    "a response that names no request is not trusted on a kept connection",
    "[kept]") {
  RunCounter runs;
  const std::string rejection =
      ResponseText("503 Busy", "Not-Run: 1\r\n", "not run");
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        bool names_none = request.path == "/once/none";
        if (connection->requests > 1 && names_none) {
          connection->Write(rejection);  // To no request.
        }
        runs.Add(request.id);
        std::this_thread::sleep_for(kPause);
        connection->Write(SignedText(request.id));
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  HttpCall call = fixture.CallTo("/once/none", "k1");
  std::string id(call.headers.Get("Request-Id"));
  CallOutcome outcome = fixture.Send(call);
  REQUIRE(runs.Of(id) == 1);
  REQUIRE(outcome.status == 502);
}

TEST_CASE("a rejection that names no request is trusted on a new connection",
          "[kept]") {
  std::atomic<int> requests = 0;
  ScriptedUpstream upstream(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        connection->Write(++requests == 1
                              ? ResponseText("503 Busy", "Not-Run: 1\r\n", "")
                              : SignedText(request.id));
      });
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  REQUIRE(fixture.SendRequest("/once/x").status == 200);
  REQUIRE(requests == 2);
}

}  // namespace bilberrypitch
