// Tests of EventLoopHttpClient against servers that write more than the
// response that was asked for.
#include <array>
#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/timer.h"

namespace bilberrypitch {
namespace {

using Socket = asio::ip::tcp::socket;

// Time for the client to act on what it has read before more follows.
constexpr std::chrono::milliseconds kPause{20};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
constexpr char kNextResponse[] =
    "HTTP/1.1 202 Other\r\nContent-Length: 0\r\n\r\n";

// Keeps each connection until the client closes it. `handler` runs for each
// request, on the thread of its connection; `number` counts the requests of all
// connections, from 1.
class SurplusServer {
 public:
  using Handler = std::function<void(Socket* socket, int number)>;

  explicit SurplusServer(Handler handler)
      : handler_(std::move(handler)),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())),
        thread_([this] { Run(); }) {}

  // To be called after the client has closed its connections.
  ~SurplusServer() {
    stopping_ = true;
    asio::io_context context;
    Socket socket(context);
    asio::error_code ec;
    socket.connect(acceptor_.local_endpoint(), ec);
    thread_.join();
    for (std::thread& thread : connection_threads_) {
      thread.join();
    }
  }

  const std::string& address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void Run() {
    while (true) {
      auto socket = std::make_shared<Socket>(context_);
      acceptor_.accept(*socket);
      // Each write is to arrive at once.
      socket->set_option(asio::ip::tcp::no_delay(true));
      if (stopping_) {
        return;
      }
      ++connections_;
      connection_threads_.emplace_back([this, socket] {
        std::string text;
        asio::error_code ec;
        while (true) {
          size_t n = asio::read_until(*socket, asio::dynamic_buffer(text),
                                      "\r\n\r\n", ec);
          if (ec) {
            return;
          }
          text.erase(0, n);
          if (text.starts_with("body")) {
            text.erase(0, 4);
          }
          handler_(socket.get(), ++requests_);
        }
      });
    }
  }

  const Handler handler_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
  std::vector<std::thread> connection_threads_;
  std::thread thread_;
};

void Write(Socket* socket, const std::string& text) {
  asio::error_code ec;
  asio::write(*socket, asio::buffer(text), ec);
}

// Runs one call to its end.
CallOutcome Run(EventLoop* loop, EventLoopHttpClient* client, HttpCall call) {
  CallOutcome outcome;
  call.on_done = [&](CallOutcome ended) {
    outcome = std::move(ended);
    loop->Stop();
  };
  client->Start(std::move(call));
  loop->Restart();
  loop->Run();
  return outcome;
}

HttpCall CallTo(const SurplusServer& server) {
  HttpCall call;
  call.address = server.address();
  call.target = "/";
  return call;
}

// How the surplus bytes follow the body of the first response.
struct SurplusCase {
  std::string name;
  std::string first;   // Written at once.
  std::string second;  // Written after a pause, in one piece.
  TrailingBytes trailing;
};

}  // namespace

// Guards against: what stands behind a response is read as the response to the
// next call.
TEST_CASE("a connection with bytes behind a response is not used again",
          "[surplus]") {
  const std::string head = kHead;
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
  const std::string many(64 << 10, 'x');
  auto surplus = GENERATE_COPY(
      SurplusCase{"nothing", head + "bo", "dy", TrailingBytes::kNone},
      SurplusCase{"nothing, chunked", chunks, "0\r\n\r\n",
                  TrailingBytes::kNone},
      SurplusCase{"a response", head + "bo", std::string("dy") + kNextResponse,
                  TrailingBytes::kNextResponse},
      SurplusCase{"a part of a response", head + "bo", "dyHTTP/1",
                  TrailingBytes::kUnknown},
      SurplusCase{"a byte", head + "bo", "dyx", TrailingBytes::kUnknown},
      SurplusCase{"many bytes", head + "bo", "dy" + many,
                  TrailingBytes::kUnknown},
      SurplusCase{"many bytes behind chunks", chunks, "0\r\n\r\n" + many,
                  TrailingBytes::kUnknown},
      // libcurl drops what it reads together with the last chunk, or with the
      // head of a response without a body, and keeps the connection.
      SurplusCase{"a response behind chunks, at once",
                  chunks + "0\r\n\r\n" + kNextResponse, "",
                  TrailingBytes::kNone},
      // libcurl reads and drops these bytes and closes the connection.
      SurplusCase{"a response, at once", head + "body" + kNextResponse, "",
                  TrailingBytes::kUnknown});
  const bool send_once = GENERATE(false, true);
  CAPTURE(surplus.name, send_once);
  SurplusServer server([&](Socket* socket, int number) {
    if (number > 1) {
      Write(socket, head + "own ");
      return;
    }
    Write(socket, surplus.first);
    std::this_thread::sleep_for(kPause);
    Write(socket, surplus.second);
  });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  CallOutcome first = Run(&loop, &client, CallTo(server));
  REQUIRE(first.result == CallResult::kComplete);
  REQUIRE(first.body == "body");
  REQUIRE(first.trailing == surplus.trailing);
  HttpCall call = CallTo(server);
  if (send_once) {
    call.method = "POST";
    call.body = "body";
    call.send_once = true;
  }
  CallOutcome second = Run(&loop, &client, call);
  REQUIRE(second.result == CallResult::kComplete);
  REQUIRE(second.body == "own ");
  REQUIRE(second.trailing == TrailingBytes::kNone);
  bool sound = surplus.trailing == TrailingBytes::kNone;
  REQUIRE(second.reused_connection == sound);
  REQUIRE(server.connections() == (sound ? 1 : 2));
}

// Guards against: sound servers that close after a response are taken for ones
// that wrote too much.
TEST_CASE("a connection that ends with its response has no trailing bytes",
          "[surplus]") {
  const std::string response = GENERATE(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\n\r\nbody");
  CAPTURE(response);
  SurplusServer server([&](Socket* socket, int /*number*/) {
    Write(socket, response);
    asio::error_code ec;
    socket->shutdown(asio::socket_base::shutdown_both, ec);
  });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  HttpCall call = CallTo(server);
  call.dedicated_connection = GENERATE(false, true);
  CallOutcome outcome = Run(&loop, &client, call);
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.trailing == TrailingBytes::kNone);
}

namespace {

// What a server does on an idle connection, some time after its response.
struct IdleCase {
  std::string name;
  std::string bytes;
  bool closes = false;
};

void Wait(EventLoop* loop, Millis time) {
  Timer timer(loop);
  timer.Start(time, [loop] { loop->Stop(); });
  loop->Restart();
  loop->Run();
}

}  // namespace

// Guards against: bytes that arrive on an idle connection are read as the
// response to the next call.
TEST_CASE("a connection that got bytes while idle is not used again",
          "[surplus]") {
  const auto idle = GENERATE(
      IdleCase{"nothing", ""}, IdleCase{"a response", kNextResponse},
      IdleCase{"a byte", "x"}, IdleCase{"a byte and the end", "x", true},
      IdleCase{"the end", "", true});
  // How often the connection is used before.
  const int sound_calls = GENERATE(1, 3);
  CAPTURE(idle.name, sound_calls);
  std::atomic<int> written = 0;
  SurplusServer server([&](Socket* socket, int number) {
    Write(socket, std::string(kHead) + "body");
    if (number != sound_calls) {
      return;
    }
    std::this_thread::sleep_for(kPause);
    Write(socket, idle.bytes);
    if (idle.closes) {
      asio::error_code ec;
      socket->shutdown(asio::socket_base::shutdown_both, ec);
    }
    ++written;
  });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  std::vector<std::string> reported;
  client.SetOnUnsolicitedBytes(
      [&](const std::string& address) { reported.push_back(address); });
  for (int i = 0; i < sound_calls; ++i) {
    CallOutcome outcome = Run(&loop, &client, CallTo(server));
    REQUIRE(outcome.result == CallResult::kComplete);
    REQUIRE(outcome.trailing == TrailingBytes::kNone);
  }
  while (written == 0) {
    Wait(&loop, Millis(1));
  }
  Wait(&loop, Millis(kPause.count()));
  const bool unsolicited = !idle.bytes.empty();
  REQUIRE(reported ==
          std::vector<std::string>(unsolicited ? 1 : 0, server.address()));
  CallOutcome outcome = Run(&loop, &client, CallTo(server));
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == "body");
  REQUIRE(server.connections() == (unsolicited || idle.closes ? 2 : 1));
}

// Guards against: the bytes of a response that is paused are taken for
// unsolicited ones.
TEST_CASE("a paused response is no idle connection", "[surplus]") {
  // Larger than libcurl's buffer, so that a part stays in the socket.
  const std::string large(256 << 10, 'x');
  SurplusServer server([&](Socket* socket, int /*number*/) {
    Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(large.size()) + "\r\n\r\n" + large);
  });
  EventLoop loop;
  EventLoopHttpClient client(&loop);
  int reported = 0;
  client.SetOnUnsolicitedBytes([&](const std::string&) { ++reported; });
  Timer resume(&loop);
  for (int i = 0; i < 2; ++i) {
    HttpCall call = CallTo(server);
    CallId id = 0;
    std::string body;
    bool paused = false;
    CallOutcome outcome;
    call.on_data = [&](std::string_view data) {
      body += data;
      if (!std::exchange(paused, true)) {
        client.Pause(id);
        resume.Start(Millis(kPause.count()), [&] { client.Resume(id); });
      }
      return true;
    };
    call.on_done = [&](CallOutcome ended) {
      outcome = std::move(ended);
      loop.Stop();
    };
    id = client.Start(std::move(call));
    loop.Restart();
    loop.Run();
    REQUIRE(outcome.result == CallResult::kComplete);
    REQUIRE(outcome.trailing == TrailingBytes::kNone);
    REQUIRE(body == large);
  }
  REQUIRE(reported == 0);
  REQUIRE(server.connections() == 1);
}

}  // namespace bilberrypitch
