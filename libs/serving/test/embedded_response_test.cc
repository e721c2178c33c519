// Tests of ContainsResponseHead.
#include "serving/embedded_response.h"

#include <catch2/catch.hpp>
#include <string>

namespace bilberrypitch {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nName: value\r\n\r\n";

}  // namespace

// Guards against: a second response behind a body is taken for a part of it.
TEST_CASE("a head is found at any place of a body", "[embedded]") {
  const std::string before =
      GENERATE("", "text", "text\r\n", "text\n", "\r\n\r\n", "text\r",
               "HTTP/1.1 200 OK\r\n", "HTTP/1.1 HTTP/1.",
               "Name: ", "HTTP/1.1 200 OK\r\nno field\r\n");
  const std::string after = GENERATE("", "text", "\r\n");
  CAPTURE(before, after);
  REQUIRE(ContainsResponseHead(before + kHead + after));
}

TEST_CASE("heads of all usual forms are found", "[embedded]") {
  const std::string head = GENERATE(
      "HTTP/1.0 404 Not Found\r\nName:value\r\n\r\n",
      "HTTP/1.1 200\r\nName: value\r\n\r\n", "HTTP/1.1 200 \r\nName:\r\n\r\n",
      "HTTP/1.1 500 \xc3\xa9\r\nA: \xc3\xa9\tb\r\nX-y_z!: HTTP/1.1 "
      "200\r\n\r\n");
  CAPTURE(head);
  REQUIRE(ContainsResponseHead(head));
}

// Guards against: a second response that its connection cuts off reaches the
// caller.
TEST_CASE("a head that the body cuts off counts from its first whole field",
          "[embedded]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nName: value\r\nOther: value\r\n\r\n";
  const size_t first_field_end = head.find("Other");
  for (size_t size = 0; size <= head.size(); ++size) {
    CAPTURE(size);
    REQUIRE(ContainsResponseHead("text" + head.substr(0, size)) ==
            (size >= first_field_end));
  }
}

// Guards against: a sound answer about HTTP is refused.
TEST_CASE("text that is no head is not taken for one", "[embedded]") {
  const std::string body = GENERATE(
      "", "\r\n\r\n", "Name: value\r\n\r\n", "It speaks HTTP/1.1.",
      "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\nName: value\r\n\r\n",
      "HTTP/1.1 200 OK\nName: value\n\n",
      "HTTP/1.1 200 OK\nName: value\r\nOther: value\r\n\r\n",
      "HTTP/1.1 200 OK\r\nName: value\n\n",
      "HTTP/1.1 200 OK\r\nName: value\r\nno field\r\n\r\n",
      "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
      "HTTP/1.1 200 OK\r\nno name: value\r\n\r\n",
      "HTTP/1.1 200 OK\r\n: value\r\n\r\n",
      "HTTP/1.1 200 OK\r\nName: a\x01\r\n\r\n",
      "HTTP/1.1 20 OK\r\nName: value\r\n\r\n",
      "HTTP/1.1 2000 OK\r\nName: value\r\n\r\n",
      "HTTP/1.1  200 OK\r\nName: value\r\n\r\n",
      "HTTP/2 200 OK\r\nName: value\r\n\r\n",
      "HTTP/1.x 200 OK\r\nName: value\r\n\r\n",
      "http/1.1 200 OK\r\nName: value\r\n\r\n",
      "GET / HTTP/1.1\r\nName: value\r\n\r\n",
      "HTTP/1.1 200 OK\r\nName: value\r\nThat was the head.");
  CAPTURE(body);
  REQUIRE_FALSE(ContainsResponseHead(body));
}

// Guards against: a large body of many beginnings of heads holds up the loop.
TEST_CASE("a large body of beginnings of heads is judged in one pass",
          "[embedded]") {
  constexpr size_t kSize = 4 << 20;
  const std::string piece =
      GENERATE("HTTP/1.1 200 ", "HTTP/1.", "HTTP/1.1 200 OK\r\n",
               "HTTP/1.1 200 OK\r\nName: value\r\nno field\r\n", "\r");
  std::string body;
  while (body.size() < kSize) {
    body += piece;
  }
  body += "\r\n";
  REQUIRE_FALSE(ContainsResponseHead(body));
}

}  // namespace bilberrypitch
