// Tests of responses that state neither a length nor chunks and end with their
// connection.
#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

enum class ConnectionEnd : uint8_t { kClose, kReset };

// Sends the same bytes to each request, then ends the connection.
class RawUpstream {
 public:
  RawUpstream()
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_(LocalAddress(acceptor_.local_endpoint().port())),
        thread_([this] { Run(); }) {}

  ~RawUpstream() {
    stopping_ = true;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(acceptor_.local_endpoint());
    thread_.join();
  }

  const std::string& address() const { return address_; }

  // To be called while no request is open.
  void SetResponse(std::string head, std::string body, ConnectionEnd end) {
    head_ = std::move(head);
    body_ = std::move(body);
    end_ = end;
  }

 private:
  void Run() {
    while (true) {
      asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      Respond(&socket);
    }
  }

  void Respond(asio::ip::tcp::socket* socket) {
    std::string text;
    asio::error_code ec;
    asio::read_until(*socket, asio::dynamic_buffer(text), "body", ec);
    size_t at = text.find("Request-Id: ");
    if (ec || at == std::string::npos) {
      return;
    }
    std::string id = text.substr(at, text.find("\r\n", at) - at);
    std::string response = "HTTP/1.1 200 OK\r\n" + id +
                           "\r\nAnswer-Stamp: stamp\r\n" + head_ + "\r\n" +
                           body_;
    asio::write(*socket, asio::buffer(response), ec);
    if (end_ == ConnectionEnd::kReset) {
      // Lets the bytes be read first; a reset discards unread ones.
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      socket->set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket->close(ec);
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::string head_;
  std::string body_;
  ConnectionEnd end_ = ConnectionEnd::kClose;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

}  // namespace

// Guards against: a stream that broke off reaches the caller as a complete one.
TEST_CASE("an unframed stream is complete only if it ends after an event",
          "[unframed]") {
  Fixture fixture;
  RawUpstream upstream;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  const std::string events = kEvents;
  for (ConnectionEnd end : {ConnectionEnd::kClose, ConnectionEnd::kReset}) {
    for (size_t size = 0; size <= events.size(); ++size) {
      upstream.SetResponse("Content-Type: text/event-stream\r\n",
                           events.substr(0, size), end);
      CallOutcome outcome = fixture.SendRequest("/stream/x");
      bool after_event = size == events.size() / 2 || size == events.size();
      bool complete =
          outcome.result == CallResult::kComplete && outcome.status == 200;
      INFO("size " << size << ", reset " << (end == ConnectionEnd::kReset));
      REQUIRE(complete == (after_event && end == ConnectionEnd::kClose));
      REQUIRE(events.starts_with(complete ? outcome.body : ""));
    }
  }
}

TEST_CASE("an unframed response is complete unless its connection is reset",
          "[unframed]") {
  Fixture fixture;
  RawUpstream upstream;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  upstream.SetResponse("", "all of it", ConnectionEnd::kClose);
  CallOutcome outcome = fixture.SendRequest("/once/x");
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == "all of it");
  for (const char* part : {"", "a", "all of it"}) {
    upstream.SetResponse("", part, ConnectionEnd::kReset);
    REQUIRE(fixture.SendRequest("/once/x").status == 502);
  }
  // Fewer bytes than the length that was stated.
  upstream.SetResponse("Content-Length: 9\r\n", "all of",
                       ConnectionEnd::kClose);
  REQUIRE(fixture.SendRequest("/once/x").status == 502);
}

// Guards against: a sound response that quotes lines of a head is refused.
TEST_CASE("an unframed response may speak of HTTP", "[unframed]") {
  Fixture fixture;
  RawUpstream upstream;
  fixture.PutUpstream("i-1", upstream.address(), "ready", 2);
  fixture.WaitUntilReady();
  for (const char* body :
       {"It says HTTP/1.1 200 OK.\n", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\nName: value\n\n", "Name: value\r\n\r\n"}) {
    CAPTURE(body);
    upstream.SetResponse("", body, ConnectionEnd::kClose);
    CallOutcome outcome = fixture.SendRequest("/once/x");
    REQUIRE(outcome.status == 200);
    REQUIRE(outcome.body == body);
  }
}

}  // namespace bilberrypitch
