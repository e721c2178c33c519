// Tests of what is read beside the server's library.
#include "request_inspector.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "strict_http.h"

namespace bilberrypitch {
namespace {

constexpr RequestSizeLimits kLimits{100, 1000};
constexpr char kHost[] = "Host: h\r\n";

std::string Get(const std::string& version) {
  return "GET /x " + version + "\r\n" + kHost + "\r\n";
}

std::string Post(const std::string& fields, const std::string& body) {
  return std::string("POST /x HTTP/1.1\r\n") + kHost + fields + "\r\n" + body;
}

StrictMessage ErrorFor(const std::string& bytes) {
  RequestInspector inspector(kLimits);
  const InspectorReply reply = inspector.Feed(bytes);
  REQUIRE(reply.is_last);
  return ReadStrictResponse(reply.bytes, {}, true);
}

}  // namespace

TEST_CASE("the version of each request is told, however its bytes arrive",
          "[inspector]") {
  const std::string bytes =
      Get("HTTP/1.0") + Post("Content-Length: 4\r\n", "body") +
      Post("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n") +
      Get("HTTP/1.0");
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    RequestInspector inspector(kLimits);
    REQUIRE(inspector.Feed(bytes.substr(0, cut)).bytes.empty());
    REQUIRE(inspector.Feed(bytes.substr(cut)).bytes.empty());
    for (bool is_http_1_0 : {true, false, false, true}) {
      REQUIRE(inspector.TakeRequest().is_http_1_0 == is_http_1_0);
    }
  }
}

// Guards against: a connection is closed without a word on what was wrong.
TEST_CASE("a request that can't be read gets an error", "[inspector]") {
  const std::string body = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& bytes :
       {Post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", body),
        Post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", body),
        Post("Content-Length: 4\r\nContent-Length: 5\r\n", "body"),
        Post("Content-Length: +5\r\n", "body"),
        Post("Content-Length: -5\r\n", "body"),
        Post("Transfer-Encoding: gzip\r\n", body),
        Post("Transfer-Encoding: chunked\r\n", "x\r\n"),
        std::string("\x16\x03\x01 no HTTP\r\n\r\n")}) {
    CAPTURE(bytes);
    const StrictMessage error = ErrorFor(bytes);
    REQUIRE(error.sound());
    REQUIRE(error.status() == 400);
    REQUIRE(error.ValueOf("Connection") == "close");
    REQUIRE(error.body.find("malformed_request") != std::string::npos);
    REQUIRE(error.body.find("\"not_run\":\"true\"") != std::string::npos);
  }
}

TEST_CASE("a request that is too large gets an error", "[inspector]") {
  const std::string field(200, 'x');
  REQUIRE(ErrorFor(Post("X-Long: " + field + "\r\n", "")).status() == 431);
  REQUIRE(ErrorFor("GET /" + field + " HTTP/1.1\r\nHost: h\r\n\r\n").status() ==
          431);
  REQUIRE(ErrorFor(Post("Content-Length: 2000\r\n", "")).status() == 413);
  REQUIRE(ErrorFor(Post("Transfer-Encoding: chunked\r\n",
                        "7d0\r\n" + std::string(2000, 'x')))
              .status() == 413);
}

// Guards against: an error is written into the response to an earlier request.
TEST_CASE("nothing is written while a response is", "[inspector]") {
  const std::string bad = "no request\r\n\r\n";
  const std::string waits =
      Post("Content-Length: 4\r\nExpect: 100-continue\r\n", "");
  for (const std::string& next : {bad, waits}) {
    RequestInspector inspector(kLimits);
    REQUIRE(inspector.Feed(Get("HTTP/1.1") + next).bytes.empty());
    RequestInspector other(kLimits);
    REQUIRE(other.Feed(Get("HTTP/1.1")).bytes.empty());
    InspectedRequest request = other.TakeRequest();
    REQUIRE(other.Feed(next.substr(0, 3)).bytes.empty());
    request = InspectedRequest();
    REQUIRE(!other.Feed(next.substr(3)).bytes.empty());
  }
}

// Guards against: the library buffers a body that is over the limit, or gets
// none of the requests before it.
TEST_CASE("what is over a limit is not passed on", "[inspector]") {
  const std::string first = Get("HTTP/1.1");
  const std::string body(500, 'x');
  for (const std::string& fields :
       {"Content-Length: 2000\r\n", "Transfer-Encoding: chunked\r\n"}) {
    RequestInspector inspector(kLimits);
    REQUIRE(inspector.Feed(first + Post(fields, "7d0\r\n")).passed_bytes ==
            first.size());
    REQUIRE(inspector.Feed(body).passed_bytes == 0);
    { const InspectedRequest handled = inspector.TakeRequest(); }
    const InspectorReply reply = inspector.Feed(body);
    REQUIRE(reply.is_last);
    REQUIRE(reply.cause == EndCause::kBodyTooLarge);
  }
  RequestInspector inspector(kLimits);
  REQUIRE(inspector.Feed(first + first).passed_bytes == 2 * first.size());
}

// Guards against: the configured limit is passed over for that of all servers.
TEST_CASE("the configured limit holds at once", "[inspector]") {
  auto max_bytes = std::make_shared<std::atomic<size_t>>(500);
  RequestInspector inspector(kLimits);
  inspector.SetMaxBodyBytes(max_bytes);
  REQUIRE(!inspector.Feed(Post("Content-Length: 400\r\n", "")).is_last);
  *max_bytes = 100;
  const InspectorReply reply = inspector.Feed(std::string(200, 'x'));
  REQUIRE(reply.is_last);
  REQUIRE(ReadStrictResponse(reply.bytes, {}, true).status() == 413);
}

// Guards against: the end of a connection is written into an open response, or
// where no request asked for one.
TEST_CASE("a connection that is ended gets a response of its own",
          "[inspector]") {
  RequestInspector inspector(kLimits);
  REQUIRE(inspector.ResponseFor(EndCause::kMemory).empty());
  inspector.Feed(Get("HTTP/1.1"));
  {
    const InspectedRequest handled = inspector.TakeRequest();
    inspector.Feed(Post("Content-Length: 4\r\n", "b"));
    REQUIRE(inspector.ResponseFor(EndCause::kMemory).empty());
  }
  for (auto [cause, status] : {std::pair(EndCause::kMemory, 503),
                               std::pair(EndCause::kTooManyConnections, 503),
                               std::pair(EndCause::kStalled, 408)}) {
    const StrictMessage response =
        ReadStrictResponse(inspector.ResponseFor(cause), {}, true);
    REQUIRE(response.sound());
    REQUIRE(response.status() == status);
  }
  REQUIRE(inspector.ResponseFor(EndCause::kUnreadResponse).empty());
}

// Guards against: a caller waits for a word that never comes before it sends
// its body.
TEST_CASE("a caller that waits to send its body is told to", "[inspector]") {
  const std::string expect = "expect: 100-Continue\r\n";
  RequestInspector inspector(kLimits);
  REQUIRE(inspector.Feed(Post(expect + "Content-Length: 4\r\n", "")).bytes ==
          "HTTP/1.1 100 Continue\r\n\r\n");
  REQUIRE(inspector.Feed("body").bytes.empty());
  REQUIRE(!inspector.TakeRequest().is_http_1_0);
  SECTION("in chunks") {
    REQUIRE(!inspector.Feed(Post(expect + "Transfer-Encoding: chunked\r\n", ""))
                 .bytes.empty());
  }
  SECTION("but not when the body is there") {
    REQUIRE(inspector.Feed(Post(expect + "Content-Length: 4\r\n", "b"))
                .bytes.empty());
  }
  SECTION("or when there is none") {
    REQUIRE(inspector.Feed(Post(expect, "")).bytes.empty());
  }
  SECTION("or on HTTP/1.0") {
    REQUIRE(
        inspector
            .Feed("POST /x HTTP/1.0\r\n" + expect + "Content-Length: 4\r\n\r\n")
            .bytes.empty());
  }
}

}  // namespace bilberrypitch
