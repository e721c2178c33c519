// Tests the path of a request through separate processes, and each rejection.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>

#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

// Opens a connection that requests a long stream and reads nothing of it.
// Returns the file descriptor.
int OpenSlowReader(const std::string& address) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  int receive_buffer_bytes = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof(receive_buffer_bytes));
  sockaddr_in server_address{};
  server_address.sin_family = AF_INET;
  server_address.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  server_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&server_address),
                  sizeof(server_address)) == 0);
  std::string request = fmt::format(
      "POST /stream/slow HTTP/1.1\r\nHost: {}\r\nRequest-Id: slow\r\n"
      "Authorization: Token {}\r\nModel: base/coach1\r\nTokens: 1,100000\r\n"
      "Deadline-Ms: 7000\r\nContent-Length: 1\r\n\r\nx",
      Deployment::kHost, SmallDeployment::kKey);
  REQUIRE(write(fd, request.data(), request.size()) > 0);
  return fd;
}

}  // namespace

TEST_CASE("request path: responses and rejections", "[path]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  REQUIRE(deployment.WaitUntilServed("entry-3", "coach1"));

  SECTION("a unary and a streamed response") {
    CallOutcome response = deployment.Infer("entry-1", "/ask/x", "coach1", 3);
    json::object body = ParseJsonObject(response.body);
    REQUIRE(StringOr(body, "model", "") == "base/coach1");
    REQUIRE(StringOr(body, "workspace", "") == "club");
    CallOutcome stream = deployment.Infer("entry-3", "/stream/x", "coach1", 3);
    REQUIRE(IsComplete(stream));
    REQUIRE(stream.body ==
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
  }
  SECTION("the completions API: responses and rejections") {
    CallOutcome response =
        deployment.SendCompletion("entry-2", SmallDeployment::kKey, "coach1");
    REQUIRE(response.status == 200);
    REQUIRE_FALSE(response.headers.Get("X-Request-Id").empty());
    json::object body = ParseJsonObject(response.body);
    REQUIRE(StringOr(body, "model", "") == "base/coach1");
    REQUIRE(StringOr(body, "workspace", "") == "club");
    REQUIRE(deployment.SendCompletion("entry-2", "k-wrong", "coach1").status ==
            401);
    REQUIRE(
        deployment.Call("entry-2/completions", "POST", "/v1/completions", "{")
            .status == 400);
  }
  SECTION("a public route and a request to a plain service") {
    CallerRequest public_request;
    public_request.path = "/hours/x?y=1";
    REQUIRE(deployment.SendRequest("entry-2", public_request).status == 200);
    REQUIRE(deployment.SendWithKey("entry-3", "/once/book", "lane 4").status ==
            200);
    REQUIRE(deployment.RunCount("booking", "lane 4") == 1);
  }
  SECTION("rejections have the status of their reason and nothing ran") {
    int64_t completions = deployment.SumCounters("completions");
    CallerRequest request;
    request.path = "/once/x";
    REQUIRE(deployment.SendRequest("entry-1", request).status == 401);
    request.key = std::string(SmallDeployment::kKey) + "0";
    REQUIRE(deployment.SendRequest("entry-1", request).status == 401);
    REQUIRE(deployment.SendWithKey("entry-1", "/nowhere/x", "").status == 404);
    REQUIRE(
        deployment.SendWithKey("entry-1", "/once/x", std::string(2 << 20, ' '))
            .status == 413);
    request.key = SmallDeployment::kKey;
    request.padding_bytes = 20000;
    REQUIRE(deployment.SendRequest("entry-1", request).status == 431);
    request.padding_bytes = 0;
    request.tokens = -1;
    REQUIRE(deployment.SendRequest("entry-1", request).status == 400);
    REQUIRE(deployment.SumCounters("completions") == completions);
    REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 1).status == 200);
  }
  SECTION("a slow reader does not affect other callers") {
    int slow_fd = OpenSlowReader(deployment.Address("entry-1"));
    REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
    // The engine's request ends at the caller's deadline.
    REQUIRE(ProcessGroup::WaitUntil(
        60000, [&] { return deployment.SumCounters("running") == 0; }));
    close(slow_fd);
    REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
  }
  SECTION("SIGTERM ends an instance and no request in flight is lost") {
    auto stream = std::async(std::launch::async, [&] {
      return deployment.Infer("entry-1", "/stream/x", "coach1", 200);
    });
    REQUIRE(ProcessGroup::WaitUntil(
        5000, [&] { return deployment.SumCounters("running") == 1; }));
    REQUIRE(deployment.processes().Terminate("entry-1") == 0);
    CallOutcome outcome = stream.get();
    REQUIRE(IsComplete(outcome));
    REQUIRE(outcome.body.find("data: t200\n") != std::string::npos);
    REQUIRE(deployment.Infer("entry-2", "/ask/x", "coach1", 1).status == 200);
  }
  // No key reaches an upstream or a log.
  REQUIRE(deployment.SumCounters("credentials_seen") == 0);
  for (const std::string& name : deployment.instances()) {
    REQUIRE(deployment.processes().ReadLog(name).find(SmallDeployment::kKey) ==
            std::string::npos);
  }
}

}  // namespace bilberrypitch::lab
