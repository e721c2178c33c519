// Tests of EventLoopHttpClient against servers that reset the connection or do
// not respond.
#include "transport/event_loop_http_client.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

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

}  // namespace bilberrypitch
