// The whole path through separate processes, and each refusal.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>

#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

// A connection that asks for a long stream and reads nothing of it.
int OpenSlowCaller(const std::string& address) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
  std::string request = fmt::format(
      "POST /stream/slow HTTP/1.1\r\nHost: {}\r\nRequest-Id: slow\r\n"
      "Authorization: Token {}\r\nModel: base/coach1\r\nTokens: 1,100000\r\n"
      "Deadline-Ms: 7000\r\nContent-Length: 1\r\n\r\nx",
      Deployment::kHost, SmallDeployment::kKey);
  REQUIRE(write(fd, request.data(), request.size()) > 0);
  return fd;
}

}  // namespace

TEST_CASE("whole path: answers and refusals", "[path]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  REQUIRE(it.Warm("entry-3", "coach1"));

  SECTION("a whole and a streamed answer") {
    CallOutcome whole = it.Infer("entry-1", "/ask/x", "coach1", 3);
    json::object body = ParseObject(whole.body);
    REQUIRE(StringOr(body, "model", "") == "base/coach1");
    REQUIRE(StringOr(body, "workspace", "") == "club");
    CallOutcome stream = it.Infer("entry-3", "/stream/x", "coach1", 3);
    REQUIRE(IsWhole(stream));
    REQUIRE(stream.body ==
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
  }
  SECTION("the completions interface: answers and refusals") {
    CallOutcome whole = it.Complete("entry-2", SmallDeployment::kKey, "coach1");
    REQUIRE(whole.status == 200);
    REQUIRE_FALSE(whole.headers.Get("X-Request-Id").empty());
    json::object body = ParseObject(whole.body);
    REQUIRE(StringOr(body, "model", "") == "base/coach1");
    REQUIRE(StringOr(body, "workspace", "") == "club");
    REQUIRE(it.Complete("entry-2", "k-wrong", "coach1").status == 401);
    REQUIRE(
        it.Call("entry-2/completions", "POST", "/v1/completions", "{").status ==
        400);
  }
  SECTION("an open route and a call to a plain service") {
    Asked open;
    open.path = "/hours/x?y=1";
    REQUIRE(it.Ask("entry-2", open).status == 200);
    REQUIRE(it.Send("entry-3", "/once/book", "lane 4").status == 200);
    REQUIRE(it.Runs("booking", "lane 4") == 1);
  }
  SECTION("refusals have the status of their reason and nothing ran") {
    int64_t completions = it.SumOfFacts("completions");
    Asked asked;
    asked.path = "/once/x";
    REQUIRE(it.Ask("entry-1", asked).status == 401);
    asked.key = std::string(SmallDeployment::kKey) + "0";
    REQUIRE(it.Ask("entry-1", asked).status == 401);
    REQUIRE(it.Send("entry-1", "/nowhere/x", "").status == 404);
    REQUIRE(it.Send("entry-1", "/once/x", std::string(2 << 20, ' ')).status ==
            413);
    asked.key = SmallDeployment::kKey;
    asked.padding_bytes = 20000;
    REQUIRE(it.Ask("entry-1", asked).status == 431);
    asked.padding_bytes = 0;
    asked.tokens = -1;
    REQUIRE(it.Ask("entry-1", asked).status == 400);
    REQUIRE(it.SumOfFacts("completions") == completions);
    REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 1).status == 200);
  }
  SECTION("a caller that reads slowly harms nobody") {
    int slow = OpenSlowCaller(it.Address("entry-1"));
    REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
    // The engine's run ends with the caller's time.
    REQUIRE(ProcessGroup::WaitFor(
        60000, [&] { return it.SumOfFacts("running") == 0; }));
    close(slow);
    REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
  }
  SECTION("SIGTERM ends an instance with nothing in flight lost") {
    auto stream = std::async(std::launch::async, [&] {
      return it.Infer("entry-1", "/stream/x", "coach1", 200);
    });
    REQUIRE(ProcessGroup::WaitFor(
        5000, [&] { return it.SumOfFacts("running") == 1; }));
    REQUIRE(it.processes().Terminate("entry-1") == 0);
    CallOutcome outcome = stream.get();
    REQUIRE(IsWhole(outcome));
    REQUIRE(outcome.body.find("data: t200\n") != std::string::npos);
    REQUIRE(it.Infer("entry-2", "/ask/x", "coach1", 1).status == 200);
  }
  // No key reaches an upstream or a log.
  REQUIRE(it.SumOfFacts("credentials_seen") == 0);
  for (const std::string& name : it.instances()) {
    REQUIRE(it.processes().Log(name).find(SmallDeployment::kKey) ==
            std::string::npos);
  }
}

}  // namespace bilberrypitch::lab
