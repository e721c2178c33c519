// EventLoopHttpClient against a server that breaks connections at chosen
// points.
#include "transport/event_loop_http_client.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

constexpr char kKeptAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Answers the first request on its one connection, then reads a second one,
// stops listening and resets the connection.
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
    asio::write(socket, asio::buffer(kKeptAnswer, sizeof(kKeptAnswer) - 1));
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

HttpCall OnceCall(const std::string& address) {
  HttpCall call;
  call.method = "POST";
  call.address = address;
  call.target = "/run";
  call.body = "the body";
  call.send_once = true;
  return call;
}

}  // namespace

TEST_CASE("a call that is sent once is never taken for unsent after a reset",
          "[loop_client]") {
  ResettingServer server;
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  CallOutcome first;
  CallOutcome second;
  HttpCall call = OnceCall(server.address());
  call.on_done = [&](CallOutcome outcome) {
    first = std::move(outcome);
    HttpCall again = OnceCall(server.address());
    again.on_done = [&](CallOutcome it) {
      second = std::move(it);
      loop.Stop();
    };
    client.Start(std::move(again));
  };
  client.Start(std::move(call));
  loop.Run();
  REQUIRE(first.result == CallResult::kComplete);
  REQUIRE(server.requests() == 2);
  REQUIRE_FALSE(DefinitelyNotSent(second.result));
  REQUIRE(second.result == CallResult::kConnectionBroken);
}

// The gateway is destroyed before its client; its watch is always open.
TEST_CASE("a client that ends does not call back", "[loop_client]") {
  asio::io_context context;
  asio::ip::tcp::acceptor silent(context,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  EventLoop loop;
  bool called = false;
  {
    EventLoopHttpClient client(&loop);
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    call.on_done = [&](const CallOutcome&) { called = true; };
    client.Start(std::move(call));
    Timer stop(&loop);
    stop.Start(Millis(20), [&] { loop.Stop(); });
    loop.Run();
  }
  REQUIRE_FALSE(called);
}

}  // namespace bilberrypitch
