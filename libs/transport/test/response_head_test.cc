// Tests of ResponseHead.
#include "transport/response_head.h"

#include <catch2/catch.hpp>
#include <string>

#include "transport/http_call.h"

namespace bilberrypitch {
namespace {

using Progress = ResponseHead::Progress;

// Feeds the lines of `text` up to the first that is not kIncomplete.
Progress FeedAll(ResponseHead* head, std::string_view text) {
  while (!text.empty()) {
    size_t end = std::min(text.size(), text.find('\n') + 1);
    Progress progress = head->Feed(text.substr(0, end));
    if (progress != Progress::kIncomplete) {
      return progress;
    }
    text.remove_prefix(end);
  }
  return Progress::kIncomplete;
}

constexpr char kFirst[] =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: a\r\n\r\n";
constexpr char kSecond[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nAnswer-Stamp: s\r\n\r\n";

}  // namespace

TEST_CASE("a head is read after interim responses and before trailers",
          "[head]") {
  ResponseHead head;
  REQUIRE(FeedAll(&head, "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n") ==
          Progress::kIncomplete);
  REQUIRE(FeedAll(&head, "HTTP/1.0 404\r\nA:  b c \t\r\nB:\n\r\n") ==
          Progress::kComplete);
  REQUIRE(head.status() == 404);
  REQUIRE(head.headers().fields().size() == 2);
  REQUIRE(head.headers().Get("a") == "b c");
  REQUIRE(head.headers().Get("B").empty());
  REQUIRE(FeedAll(&head, "Not-Run: 1\r\n\r\n") == Progress::kIncomplete);
  REQUIRE(head.headers().Get("Not-Run").empty());
}

// Guards against: the status of one response with the fields of another.
TEST_CASE("a head that continues as another response is malformed", "[head]") {
  const std::string first = kFirst;
  for (size_t cut = 1; cut < first.size(); ++cut) {
    INFO(first.substr(0, cut));
    ResponseHead head;
    REQUIRE(FeedAll(&head, first.substr(0, cut) + kSecond) ==
            Progress::kMalformed);
  }
}

TEST_CASE("lines that are no part of a head are malformed", "[head]") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& text :
       {std::string("\r\n"), std::string("garbage\r\n"),
        std::string("HTTP/1.1 20\r\n"), std::string("HTTP/1.1 2000\r\n"),
        std::string("HTTP/2 200 OK\r\n"), ok + "no colon\r\n",
        ok + ": no name\r\n", ok + "a b: c\r\n", ok + " folded: x\r\n",
        ok + "name : x\r\n", ok + std::string("a: b\0c\r\n", 8),
        ok + "a: b\rc\r\n", ok + ok}) {
    INFO(text);
    ResponseHead head;
    REQUIRE(FeedAll(&head, text) == Progress::kMalformed);
  }
}

// Guards against: a status that is none of a final response is passed on or
// waited behind, since nothing else checks it.
TEST_CASE("a status outside 200 to 599 is malformed", "[head]") {
  for (int status = 0; status < 1000; ++status) {
    const std::string text = std::to_string(1000 + status).substr(1);
    CAPTURE(text);
    const bool is_final = status >= 200 && status <= 599;
    const bool is_interim = status >= 100 && status < 200 && status != 101;
    ResponseHead head;
    REQUIRE(head.Feed("HTTP/1.1 " + text + " Status\r\n") ==
            (is_final || is_interim ? Progress::kIncomplete
                                    : Progress::kMalformed));
    if (is_final) {
      REQUIRE(head.Feed("\r\n") == Progress::kComplete);
    } else if (is_interim) {
      // With a body it is meant to be final.
      const std::string field = status % 2 == 0
                                    ? "Content-Length: 0\r\n"
                                    : "Transfer-Encoding: chunked\r\n";
      REQUIRE(head.Feed(field) == Progress::kIncomplete);
      REQUIRE(head.Feed("\r\n") == Progress::kMalformed);
    }
  }
  for (const char* status :
       {"0", "20", "1000", "+20", "-20", "2x0", " 200", "", "0200"}) {
    CAPTURE(status);
    ResponseHead head;
    REQUIRE(head.Feed(std::string("HTTP/1.1 ") + status + " Status\r\n") ==
            Progress::kMalformed);
  }
}

TEST_CASE("a head without an end is too large", "[head]") {
  ResponseHead head;
  Progress progress = head.Feed("HTTP/1.1 200 OK\r\n");
  size_t lines = 0;
  while (progress == Progress::kIncomplete) {
    progress = head.Feed("Field: value\r\n");
    ++lines;
  }
  REQUIRE(progress == Progress::kTooLarge);
  REQUIRE(lines * 14 <= ResponseHead::kMaxBytes);
}

// Guards against: a body without a stated end is taken for one with a length or
// chunks.
TEST_CASE("the framing of a body follows from its head", "[head]") {
  struct Case {
    std::string head;
    std::string method;
    BodyFraming framing;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "transfer-encoding: Chunked\r\n";
  const std::string length = "content-length: 0\r\n";
  for (const Case& it : {
           Case{ok, "GET", BodyFraming::kUntilClose},
           Case{ok, "HEAD", BodyFraming::kLength},
           Case{"HTTP/1.1 204 None\r\n", "GET", BodyFraming::kLength},
           Case{"HTTP/1.1 304 Same\r\n", "GET", BodyFraming::kLength},
           Case{ok + length, "POST", BodyFraming::kLength},
           Case{ok + chunked, "POST", BodyFraming::kChunked},
       }) {
    CAPTURE(it.head, it.method);
    ResponseHead head;
    REQUIRE(FeedAll(&head, it.head) == Progress::kIncomplete);
    REQUIRE(head.Feed("\r\n") == Progress::kComplete);
    REQUIRE(head.framing(it.method) == it.framing);
  }
}

// Guards against: a response that others may read in another way is trusted, so
// that a part of it passes for the next one.
TEST_CASE("a head with two framings or an unreadable one is malformed",
          "[head]") {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = "Content-Length: 0\r\n";
  for (const std::string& fields :
       {length + chunked, chunked + length,
        std::string(
            "Content-Length: 0\r\nX: y\r\nTransfer-Encoding: chunked\r\n"),
        length + length, "Content-Length: 1\r\n" + length, chunked + chunked,
        std::string("Content-Length: 0, 0\r\n"),
        std::string("Content-Length: +5\r\n"),
        std::string("Content-Length: -1\r\n"),
        std::string("Content-Length:\r\n"),
        std::string("Content-Length: 9999999999999999999\r\n"),
        std::string("Transfer-Encoding: identity\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked, chunked\r\n"),
        std::string("Transfer-Encoding:\r\n")}) {
    CAPTURE(fields);
    for (const char* status : {"200 OK", "404 None", "204 None", "503 Busy"}) {
      ResponseHead head;
      const std::string status_line =
          std::string("HTTP/1.1 ") + status + "\r\n";
      REQUIRE(FeedAll(&head, status_line) == Progress::kIncomplete);
      REQUIRE(FeedAll(&head, fields) == Progress::kIncomplete);
      REQUIRE(head.Feed("\r\n") == Progress::kMalformed);
    }
  }
  ResponseHead head;
  REQUIRE(FeedAll(&head, "HTTP/1.0 200 OK\r\n" + chunked + "\r\n") ==
          Progress::kMalformed);
}

}  // namespace bilberrypitch
