// Tests of responses whose heads contradict themselves.
#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

constexpr char kStreamType[] = "Content-Type: text/event-stream\r\n";
constexpr char kBody[] = "id: 1\ndata: a\n\n";

// A signed response to the request `id`, with the lines `fields` in its head.
std::string ResponseWith(const std::string& id, const std::string& fields,
                         const std::string& status = "200 OK") {
  const std::string body = kBody;
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id +
         "\r\nAnswer-Stamp: stamp\r\n" + kStreamType +
         "Content-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         "\r\n" + body;
}

// Sends sound responses to the first `sound` requests and then those of the
// function, and keeps connections.
class ContradictoryUpstream {
 public:
  using Response = std::function<std::string(const std::string& id)>;

  ContradictoryUpstream(int sound, Response response)
      : upstream_([this, sound, response](ScriptedConnection* connection,
                                          const ScriptedRequest& request) {
          connection->Write(++requests_ <= sound ? ResponseWith(request.id, "")
                                                 : response(request.id));
        }) {}

  const std::string& address() const { return upstream_.address(); }
  int requests() const { return requests_; }

 private:
  std::atomic<int> requests_ = 0;
  ScriptedUpstream upstream_;
};

// What the caller gets after as many sound responses.
CallOutcome SendAfter(int sound, const std::string& path,
                      const ContradictoryUpstream& upstream) {
  Fixture fixture;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  for (int i = 0; i < sound; ++i) {
    REQUIRE(fixture.SendRequest(path).status == 200);
  }
  return fixture.SendRequest(path);
}

}  // namespace

// Guards against: a response that also names or is signed for another request
// is passed on, as only the first of two fields is read.
TEST_CASE("a head with two request ids or two signatures is not passed on",
          "[contradictory]") {
  const std::string path = GENERATE("/once/x", "/stream/x");
  const int sound = GENERATE(0, 1);
  const std::string field =
      GENERATE("Request-Id: other\r\n", "Answer-Stamp: other\r\n");
  CAPTURE(path, sound, field);
  ContradictoryUpstream upstream(sound, [field](const std::string& id) {
    return ResponseWith(id, field);
  });
  CallOutcome outcome = SendAfter(sound, path, upstream);
  REQUIRE(outcome.status == 502);
  REQUIRE(outcome.body.find(kBody) == std::string::npos);
}

// Guards against: a body in an encoding that the caller did not ask for is
// passed on as the upstream's.
TEST_CASE("a response with a content encoding is not passed on",
          "[contradictory]") {
  const std::string path = GENERATE("/once/x", "/stream/x");
  const std::string status =
      GENERATE("200 OK", "302 Found", "404 Unknown", "500 Failed");
  const std::string fields = GENERATE(
      "Content-Encoding: gzip\r\n", "content-encoding: identity,br\r\n",
      "Content-Encoding: identity\r\nContent-Encoding: gzip\r\n");
  CAPTURE(path, status, fields);
  ContradictoryUpstream upstream(0, [&](const std::string& id) {
    return ResponseWith(id, fields, status);
  });
  CallOutcome outcome = SendAfter(0, path, upstream);
  REQUIRE(outcome.status == 502);
  REQUIRE(outcome.headers.Get("Answer-Stamp").empty());
  REQUIRE(outcome.body.find(kBody) == std::string::npos);
}

TEST_CASE("a response with the encoding identity is passed on",
          "[contradictory]") {
  const std::string path = GENERATE("/once/x", "/stream/x");
  const std::string fields =
      GENERATE("Content-Encoding: Identity\r\n", "Content-Encoding:\r\n");
  CAPTURE(path, fields);
  ContradictoryUpstream upstream(
      0, [&](const std::string& id) { return ResponseWith(id, fields); });
  CallOutcome outcome = SendAfter(0, path, upstream);
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == kBody);
}

// Guards against: a rejection counts as run, and is not repeated elsewhere,
// since its body is encoded.
TEST_CASE("a rejection with a content encoding still counts as not run",
          "[contradictory]") {
  ContradictoryUpstream upstream(0, [](const std::string& id) {
    return ResponseWith(id, "Content-Encoding: gzip\r\nNot-Run: 1\r\n",
                        "503 Busy");
  });
  CallOutcome outcome = SendAfter(0, "/once/x", upstream);
  REQUIRE(outcome.status == 503);
  REQUIRE(outcome.body.find(kBody) == std::string::npos);
}

// Guards against: the caller gets a part of a success that says that it has not
// run, and the request is repeated as one that never began.
TEST_CASE("a success that says that it has not run is not passed on",
          "[contradictory]") {
  const std::string path = GENERATE("/once/x", "/stream/x");
  CAPTURE(path);
  ContradictoryUpstream upstream(0, [](const std::string& id) {
    return ResponseWith(id, "Not-Run: 1\r\n");
  });
  CallOutcome outcome = SendAfter(0, path, upstream);
  REQUIRE(outcome.status == 502);
  REQUIRE(outcome.body.find(kBody) == std::string::npos);
}

// Guards against: a response with two framings is passed on, or a rejection
// with two is believed, although a part of it may stand before the next one.
TEST_CASE("a response with two framings is not trusted", "[contradictory]") {
  const std::string path = GENERATE("/once/x", "/stream/x");
  const std::string status = GENERATE("200 OK", "404 Unknown", "503 Busy");
  const std::string field =
      GENERATE("Transfer-Encoding: chunked\r\n", "Content-Length: 7\r\n");
  CAPTURE(path, status, field);
  ContradictoryUpstream upstream(0, [&](const std::string& id) {
    const std::string not_run =
        status.starts_with("503") ? "Not-Run: 1\r\n" : "";
    return ResponseWith(id, field + not_run, status);
  });
  CallOutcome outcome = SendAfter(0, path, upstream);
  REQUIRE(outcome.status == 502);
  REQUIRE(outcome.body.find(kBody) == std::string::npos);
  REQUIRE(upstream.requests() == 1);
}

}  // namespace bilberrypitch
