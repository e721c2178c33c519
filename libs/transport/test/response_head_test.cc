// Tests of ResponseHead.
#include "transport/response_head.h"

#include <catch2/catch.hpp>
#include <string>

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

}  // namespace bilberrypitch
