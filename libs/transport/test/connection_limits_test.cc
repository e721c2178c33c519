// Tests the ends of connections that go beyond limits, as their callers see
// them: raw bytes to a server on the loopback address.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "strict_http.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr size_t kMaxBody = 1 << 20;
constexpr BodyBudgetLimits kLimits{6 << 20, 20, Millis(300), Millis(600)};
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";

// A server whose handler echoes the size of the body. "/keep" is responded to
// by Release(), "/large" with a response of several megabytes.
class LimitedServer {
 public:
  LimitedServer() : guard_(std::make_shared<ConnectionGuard>(&loop_, kLimits)) {
    for (options_.port = 21000; server_ == nullptr; ++options_.port) {
      options_.bind_ip = "127.0.0.1";
      options_.loop = &loop_;
      options_.guard = guard_;
      options_.max_body_bytes = kMaxBody;
      try {
        server_ = std::make_unique<HttpServer>(
            options_, [this](HttpRequest request, auto responder) {
              Handle(std::move(request), std::move(responder));
            });
      } catch (const std::exception&) {
        continue;  // The port is in use.
      }
      break;
    }
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~LimitedServer() {
    Do([this] {
      kept_.clear();
      server_->Stop();
    });
    loop_.Stop();
    thread_.join();
    server_.reset();
  }

  void Release() {
    Do([this] {
      for (const auto& responder : kept_) {
        responder->Send({});
      }
      kept_.clear();
    });
  }
  uint64_t Ended(EndCause cause) {
    uint64_t count = 0;
    Do([&] { count = guard_->ended().at(static_cast<size_t>(cause)); });
    return count;
  }
  size_t BytesHeld() {
    size_t bytes = 0;
    Do([&] { bytes = guard_->budget().bytes_held(); });
    return bytes;
  }
  uint16_t port() const { return options_.port; }

 private:
  void Do(const std::function<void()>& task) {
    std::promise<void> done;
    loop_.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }
  void Handle(HttpRequest request, std::shared_ptr<Responder> responder) {
    HttpResponse response;
    if (request.path == "/keep") {
      kept_.push_back(std::move(responder));
      return;
    }
    response.body = request.path == "/large"
                        ? std::string(5 << 20, 'x')
                        : std::to_string(request.body.size());
    responder->Send(std::move(response));
  }

  EventLoop loop_;
  std::shared_ptr<ConnectionGuard> guard_;
  HttpServerOptions options_;
  std::vector<std::shared_ptr<Responder>> kept_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

class Caller {
 public:
  explicit Caller(const LimitedServer& server)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(server.port());
    const timeval timeout{5, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
  }
  ~Caller() { close(fd_); }

  void Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      sent += static_cast<size_t>(n);
    }
  }
  void Post(const std::string& path, const std::string& rest) {
    Send("POST " + path + " HTTP/1.1\r\nHost: h\r\n" + rest);
  }
  // Reads until the server closes the connection, or 5 s have passed.
  std::string ReadToEnd() {
    std::string all;
    char buf[64 << 10];
    ssize_t n = 0;
    while ((n = recv(fd_, buf, sizeof(buf), 0)) > 0) {
      all.append(buf, static_cast<size_t>(n));
    }
    has_end_ = n == 0;
    return all;
  }
  // The connection has been closed without a reset.
  bool has_end() const { return has_end_; }

 private:
  const int fd_;
  bool has_end_ = false;
};

std::string Length(size_t bytes) {
  return fmt::format("Content-Length: {}\r\n\r\n", bytes);
}

void RequireLastResponse(Caller* caller, int status) {
  const StrictMessage response =
      ReadStrictResponse(caller->ReadToEnd(), {}, true);
  REQUIRE(response.sound());
  REQUIRE(response.status() == status);
  REQUIRE(response.ValueOf("Connection") == "close");
  REQUIRE(response.body.find("\"not_run\":\"true\"") != std::string::npos);
  REQUIRE(response.CountOf("Retry-After") == (status == 503 ? 1 : 0));
  REQUIRE(caller->has_end());
}

bool WaitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 250 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return condition();
}

}  // namespace

// Guards against: a body over the limit is received whole, or its caller loses
// the response to what it has sent behind.
TEST_CASE("a body over the limit is rejected before it is received",
          "[limits]") {
  LimitedServer server;
  Caller caller(server);
  const std::string sent(3 << 20, 'x');
  EndCause cause = EndCause::kBodyTooLarge;
  SECTION("announced") { caller.Post("/", Length(2 * sent.size()) + sent); }
  SECTION("announced by a chunk") {
    caller.Post("/", kChunked + std::string("fffffff\r\n") + sent);
  }
  SECTION("sent in chunks") {
    const std::string chunk = "4000\r\n" + std::string(16 << 10, 'x') + "\r\n";
    caller.Post("/", kChunked);
    for (int i = 0; i < 100; ++i) {
      caller.Send(chunk);
    }
  }
  SECTION("in too many chunks") {
    cause = EndCause::kTooManyChunks;
    std::string chunks;
    for (size_t i = 0; i <= MaxChunksFor(kMaxBody); ++i) {
      chunks += "1\r\nx\r\n";
    }
    caller.Post("/", kChunked + chunks);
  }
  RequireLastResponse(&caller, 413);
  REQUIRE(server.Ended(cause) == 1);
  REQUIRE(WaitFor([&] { return server.BytesHeld() == 0; }));
}

// Guards against: the budget is not applied to real connections, or what was
// held is not released.
TEST_CASE("bodies beyond the budget are rejected as not run", "[limits]") {
  LimitedServer server;
  std::vector<std::unique_ptr<Caller>> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(std::make_unique<Caller>(server));
    crowd.back()->Post("/", Length(kMaxBody) + std::string(kMaxBody - 1, 'x'));
  }
  RequireLastResponse(crowd.front().get(), 503);
  REQUIRE(server.Ended(EndCause::kMemory) >= 1);
  Caller ordinary(server);
  ordinary.Post("/", "Connection: close\r\n" + Length(4) + "body");
  REQUIRE(ReadStrictResponse(ordinary.ReadToEnd(), {}, true).body == "4");
  crowd.clear();
  REQUIRE(WaitFor([&] { return server.BytesHeld() == 0; }));
}

// Guards against: the copies of a body do not count while its request is
// handled, or count for good.
TEST_CASE("a request counts until its response is written", "[limits]") {
  LimitedServer server;
  Caller caller(server);
  caller.Post("/keep", Length(kMaxBody) + std::string(kMaxBody, 'x'));
  REQUIRE(WaitFor([&] { return server.BytesHeld() >= 3 * kMaxBody; }));
  server.Release();
  REQUIRE(WaitFor([&] { return server.BytesHeld() == 0; }));
}

// Guards against: a caller that stops keeps its place for good.
TEST_CASE("a body that stalls is ended", "[limits]") {
  LimitedServer server;
  Caller caller(server);
  caller.Post("/", Length(10) + "x");
  RequireLastResponse(&caller, 408);
  REQUIRE(server.Ended(EndCause::kStalled) == 1);
}

// Guards against: a rejection is written into, or destroys, the response to the
// request before.
TEST_CASE("a rejection waits for the response before it", "[limits]") {
  LimitedServer server;
  Caller caller(server);
  caller.Post("/keep", Length(4) + "body");
  caller.Post("/", Length(2 * kMaxBody) + std::string(1000, 'x'));
  REQUIRE(WaitFor([&] { return server.BytesHeld() > 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(server.Ended(EndCause::kBodyTooLarge) == 0);
  server.Release();
  // The next bytes are read when the response has been written.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  caller.Send(std::string(1000, 'x'));
  const std::string bytes = caller.ReadToEnd();
  CAPTURE(bytes);
  const StrictMessage first = ReadStrictResponse(bytes, {}, true);
  REQUIRE(first.status() == 200);
  const StrictMessage second =
      ReadStrictResponse(bytes.substr(first.size), {}, true);
  REQUIRE(second.sound());
  REQUIRE(second.status() == 413);
}

// Guards against: responses to callers that do not read are not counted.
TEST_CASE("unread responses are dropped beyond the budget", "[limits]") {
  LimitedServer server;
  std::vector<std::unique_ptr<Caller>> crowd;
  for (int i = 0; i < 6; ++i) {
    crowd.push_back(std::make_unique<Caller>(server));
    crowd.back()->Post("/large", Length(0));
  }
  REQUIRE(
      WaitFor([&] { return server.Ended(EndCause::kUnreadResponse) >= 1; }));
  REQUIRE(WaitFor([&] { return server.BytesHeld() <= kLimits.bytes; }));
}

// Guards against: callers that stay connected use up the descriptors.
TEST_CASE("connections beyond the limit end the longest idle", "[limits]") {
  LimitedServer server;
  std::vector<std::unique_ptr<Caller>> crowd;
  for (size_t i = 0; i < 2 * kLimits.connections; ++i) {
    crowd.push_back(std::make_unique<Caller>(server));
  }
  REQUIRE(crowd.front()->ReadToEnd().empty());
  REQUIRE(crowd.front()->has_end());
  crowd.back()->Post("/", "Connection: close\r\n" + Length(4) + "body");
  REQUIRE(ReadStrictResponse(crowd.back()->ReadToEnd(), {}, true).body == "4");
  REQUIRE(server.Ended(EndCause::kTooManyConnections) == kLimits.connections);
}

}  // namespace bilberrypitch
