// Tests of EventLoopHttpClient against servers that reset the connection or do
// not respond.
#include "transport/event_loop_http_client.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <thread>
#include <vector>

#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

constexpr char kKeepAliveResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Accepts one connection, responds to the first request, reads a second one,
// then stops listening and resets the connection.
class ResettingServer {
 public:
  ResettingServer()
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())),
        thread_([this] { Run(); }) {}

  ~ResettingServer() { thread_.join(); }

  const std::string& address() const { return address_; }
  int requests() const { return requests_; }

 private:
  void Run() {
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket);
    ReadRequest(&socket);
    asio::write(socket, asio::buffer(kKeepAliveResponse,
                                     sizeof(kKeepAliveResponse) - 1));
    ReadRequest(&socket);
    acceptor_.close();
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  void ReadRequest(asio::ip::tcp::socket* socket) {
    std::string text;
    asio::read_until(*socket, asio::dynamic_buffer(text), "the body");
    ++requests_;
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

HttpCall SendOnceCall(const std::string& address) {
  HttpCall call;
  call.method = "POST";
  call.address = address;
  call.target = "/run";
  call.body = "the body";
  call.send_once = true;
  return call;
}

}  // namespace

// Reads nothing of a request until it is told to.
class UnreadingServer {
 public:
  UnreadingServer()
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())) {}

  const std::string& address() const { return address_; }
  void Accept() { socket_.emplace(acceptor_.accept()); }
  // Reads to the end and returns how the connection has ended.
  asio::error_code ReadToEnd() {
    std::vector<char> buf(1 << 20);
    asio::error_code ec;
    while (!ec) {
      socket_->read_some(asio::buffer(buf), ec);
    }
    return ec;
  }

 private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::optional<asio::ip::tcp::socket> socket_;
};

// After the reset, libcurl tries to open a new connection and fails. The
// outcome must not be kConnectFailed, because the server has read the request.
TEST_CASE("a send_once call is not reported as unsent after a connection reset",
          "[loop_client]") {
  ResettingServer server;
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  CallOutcome first;
  CallOutcome second;
  HttpCall call = SendOnceCall(server.address());
  call.on_done = [&](CallOutcome outcome) {
    first = std::move(outcome);
    HttpCall second_call = SendOnceCall(server.address());
    second_call.on_done = [&](CallOutcome second_outcome) {
      second = std::move(second_outcome);
      loop.Stop();
    };
    client.Start(std::move(second_call));
  };
  client.Start(std::move(call));
  loop.Run();
  REQUIRE(first.result == CallResult::kComplete);
  REQUIRE(server.requests() == 2);
  REQUIRE_FALSE(DefinitelyNotSent(second.result));
  REQUIRE(second.result == CallResult::kConnectionBroken);
}

namespace {

// Accepts one connection, reads the request, sends `head` once and then `piece`
// again and again until the caller closes.
class EndlessServer {
 public:
  EndlessServer(std::string head, std::string piece)
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())),
        thread_([this, head = std::move(head), piece = std::move(piece)] {
          Run(head, piece);
        }) {}

  ~EndlessServer() { thread_.join(); }

  const std::string& address() const { return address_; }

 private:
  void Run(const std::string& head, const std::string& piece) {
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::error_code ec;
    asio::write(socket, asio::buffer(head), ec);
    while (!ec) {
      asio::write(socket, asio::buffer(piece), ec);
    }
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::thread thread_;
};

struct EndlessCase {
  std::string name;
  std::string head;
  std::string piece;
};

}  // namespace

// Guards against: a request that was given up reaches the server later, when
// what held its bytes back is over.
TEST_CASE("the connection of a call that is given up is reset",
          "[loop_client]") {
  const bool is_cancelled = GENERATE(false, true);
  CAPTURE(is_cancelled);
  // More than the buffers of a connection hold.
  constexpr size_t kBodyBytes = 64 << 20;
  UnreadingServer server;
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  HttpCall call;
  call.method = "POST";
  call.address = server.address();
  call.target = "/run";
  call.body.assign(kBodyBytes, 'x');
  call.timeouts.total = Millis(is_cancelled ? 5000 : 300);
  call.on_done = [&](const CallOutcome&) { loop.Stop(); };
  CallId id = client.Start(std::move(call));
  Timer timer(&loop);
  if (is_cancelled) {
    timer.Start(Millis(300), [&] { client.Cancel(id); });
  }
  loop.Run();
  server.Accept();
  REQUIRE(server.ReadToEnd() == asio::error::connection_reset);
}

// Pattern: an upstream in trouble sends bytes without end until the caller
// closes.
TEST_CASE("a response without an end is given up", "[loop_client]") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  auto endless = GENERATE_COPY(
      EndlessCase{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      EndlessCase{"header fields", ok, "Field: value\r\n"},
      EndlessCase{"a header line", ok, std::string(1000, 'x')},
      EndlessCase{"a status line", "HTTP/1.1 200 ", std::string(1000, 'x')},
      EndlessCase{"a body", ok + "\r\n", std::string(64 << 10, 'x')},
      EndlessCase{"trailers", chunked + "0\r\n", "Field: value\r\n"});
  CAPTURE(endless.name);
  EndlessServer server(endless.head, endless.piece);
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  CallOutcome outcome;
  HttpCall call;
  call.address = server.address();
  call.target = "/";
  call.timeouts.total = Millis(20 * 1000);
  call.on_done = [&](CallOutcome ended) {
    outcome = std::move(ended);
    loop.Stop();
  };
  client.Start(std::move(call));
  loop.Run();
  REQUIRE(outcome.result == CallResult::kResponseTooLarge);
}

namespace {

// Accepts one connection, reads the request, sends `text` and closes in order.
class ClosingServer {
 public:
  explicit ClosingServer(std::string text)
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())),
        thread_([this, text = std::move(text)] {
          asio::ip::tcp::socket socket(context_);
          acceptor_.accept(socket);
          std::string request;
          asio::error_code ec;
          asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                           ec);
          asio::write(socket, asio::buffer(text), ec);
        }) {}

  ~ClosingServer() { thread_.join(); }

  const std::string& address() const { return address_; }

 private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::thread thread_;
};

}  // namespace

// Guards against: a response that ends within its head counts as complete, with
// an empty body.
TEST_CASE("a response that ends within its head is not complete",
          "[loop_client]") {
  const std::string head =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");
  for (size_t cut = 0; cut < head.size(); ++cut) {
    CAPTURE(head, cut);
    ClosingServer server(head.substr(0, cut));
    EventLoop loop;
    EventLoopHttpClient client(&loop);
    CallOutcome outcome;
    bool started = false;
    HttpCall call;
    call.address = server.address();
    call.target = "/";
    call.on_headers = [&](const ResponseStart&) {
      started = true;
      return true;
    };
    call.on_done = [&](CallOutcome ended) {
      outcome = std::move(ended);
      loop.Stop();
    };
    client.Start(std::move(call));
    loop.Run();
    REQUIRE_FALSE(started);
    REQUIRE(outcome.status == 0);
    REQUIRE(outcome.result == CallResult::kConnectionBroken);
  }
}

// The gateway is destroyed before its client, while its watch call is still
// open. A callback would access the destroyed gateway.
TEST_CASE("a destroyed client does not call back", "[loop_client]") {
  asio::io_context context;
  asio::ip::tcp::acceptor unresponsive(
      context, {asio::ip::make_address("127.0.0.1"), 0});
  EventLoop loop;
  bool called = false;
  {
    EventLoopHttpClient client(&loop);
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
    call.on_done = [&](const CallOutcome&) { called = true; };
    client.Start(std::move(call));
    Timer stop_timer(&loop);
    stop_timer.Start(Millis(20), [&] { loop.Stop(); });
    loop.Run();
  }
  REQUIRE_FALSE(called);
}

// Guards against: a delay that is too long for the clock's unit fires at once.
TEST_CASE("a timer with the longest delay does not fire", "[timer]") {
  EventLoop loop;
  Timer longest(&loop);
  Timer stop(&loop);
  bool fired = false;
  longest.Start(Millis(std::numeric_limits<int64_t>::max()),
                [&] { fired = true; });
  stop.Start(Millis(50), [&] { loop.Stop(); });
  loop.Run();
  REQUIRE_FALSE(fired);
  REQUIRE(longest.pending());
}

}  // namespace bilberrypitch
