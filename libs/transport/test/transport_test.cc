// Tests of the transport library over loopback.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

// A listening socket on a free port of the loopback address.
class Listener {
 public:
  Listener() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(socket_, 16) == 0);
    socklen_t n = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
  }
  ~Listener() { close(socket_); }

  uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int Accept() const { return accept(socket_, nullptr, nullptr); }

 private:
  int socket_;
  uint16_t port_ = 0;
};

uint16_t FreePort() { return Listener().port(); }

std::string ReadRequest(int socket) {
  char buf[4096];
  ssize_t n = read(socket, buf, sizeof(buf));
  return n > 0 ? std::string(buf, static_cast<size_t>(n)) : std::string();
}

void Write(int socket, const std::string& text) {
  REQUIRE(write(socket, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
}

constexpr char kWhole[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpCall Get(const std::string& address) {
  HttpCall call;
  call.address = address;
  call.target = "/";
  return call;
}

}  // namespace

TEST_CASE("a server answers whole, in a stream, and refuses large requests") {
  HttpServerOptions options;
  options.bind_ip = "127.0.0.1";
  options.port = FreePort();
  options.max_body_bytes = 1000;
  options.max_header_bytes = 1000;
  HttpServer server(options, [](HttpRequest request, auto responder) {
    if (request.path == "/stream") {
      responder->StartStream(200, {});
      responder->WriteChunk("one", {});
      responder->WriteChunk("two", {});
      responder->EndStream();
      return;
    }
    HttpResponse response;
    response.body = request.method + request.path + request.body;
    responder->Send(std::move(response));
  });
  HttpClient client(1);
  std::string address = "127.0.0.1:" + std::to_string(options.port);
  HttpCall call = Get(address);
  call.method = "POST";
  call.target = "/echo?x=1";
  call.body = "hi";
  REQUIRE(client.Run(call).body == "POST/echohi");
  call.body = std::string(2000, 'x');
  REQUIRE(client.Run(call).status == 413);
  call.body = "";
  call.headers.Add("X-Long", std::string(2000, 'x'));
  REQUIRE(client.Run(call).status == 431);
  call = Get(address);
  call.target = "/stream";
  REQUIRE(client.Run(call).body == "onetwo");
}

TEST_CASE("a truncated answer is never whole") {
  Listener listener;
  std::thread peer([&] {
    int socket = listener.Accept();
    ReadRequest(socket);
    Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    close(socket);
  });
  HttpClient client(1);
  CallOutcome outcome = client.Run(Get(listener.address()));
  peer.join();
  REQUIRE(outcome.result == CallResult::kConnectionBroken);
}

TEST_CASE("a call with its own connection is never sent twice") {
  // The peer answers once, then closes the kept connection after reading the
  // next request. libcurl alone would send that request again.
  for (bool own : {false, true}) {
    Listener listener;
    std::atomic<int> requests = 0;
    std::thread peer([&] {
      int first = listener.Accept();
      ReadRequest(first);
      ++requests;
      Write(first, kWhole);
      // The next request comes on this connection or on one of its own.
      int second = own ? listener.Accept() : first;
      ReadRequest(second);
      ++requests;
      close(second);
      if (!own) {
        int third = listener.Accept();
        ReadRequest(third);
        ++requests;
        Write(third, kWhole);
        close(third);
      } else {
        close(first);
      }
    });
    HttpClient client(1);
    REQUIRE(client.Run(Get(listener.address())).result ==
            CallResult::kComplete);
    HttpCall call = Get(listener.address());
    call.method = "POST";
    call.dedicated_connection = own;
    CallOutcome outcome = client.Run(call);
    peer.join();
    INFO("own connection: " << own);
    REQUIRE(requests == (own ? 2 : 3));
    REQUIRE((outcome.result == CallResult::kConnectionBroken) == own);
  }
}

TEST_CASE("a silent connection is found and its late answer reaches nobody") {
  Listener listener;
  std::thread peer([&] {
    int first = listener.Accept();
    ReadRequest(first);
    int second = listener.Accept();
    ReadRequest(second);
    // The late answer of the first request, then the second's own.
    (void)!write(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", 42);
    Write(second, kWhole);
    close(first);
    close(second);
  });
  HttpClient client(1);
  HttpCall call = Get(listener.address());
  call.timeouts.first_byte = Millis(100);
  REQUIRE(client.Run(call).result == CallResult::kStalled);
  call.timeouts.first_byte = Millis(5000);
  REQUIRE(client.Run(call).body == "ok");
  peer.join();
}

TEST_CASE("a refused connection is surely not sent") {
  HttpClient client(1);
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  REQUIRE(DefinitelyNotSent(client.Run(Get(address)).result));
}

TEST_CASE("fields of one connection are not passed on") {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("X-Hop", "1");
  headers.Add("transfer-encoding", "chunked");
  headers.Add("X-Kept", "2");
  HttpHeaders kept = EndToEndHeaders(headers, {"x-dropped"});
  REQUIRE(kept.fields().size() == 1);
  REQUIRE(kept.Get("X-Kept") == "2");
  headers.Add("X-Dropped", "3");
  REQUIRE(EndToEndHeaders(headers, {"x-dropped"}).fields().size() == 1);
}

}  // namespace bilberrypitch
