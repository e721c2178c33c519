// Tests of HttpClient, HttpServer and HttpHeaders over the loopback address.
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
    socklen_t length = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
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
  char buffer[4096];
  ssize_t length = read(socket, buffer, sizeof(buffer));
  return length > 0 ? std::string(buffer, static_cast<size_t>(length))
                    : std::string();
}

void Write(int socket, const std::string& text) {
  REQUIRE(write(socket, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
}

// Until the peer closes.
std::string ReadAll(int socket) {
  std::string all;
  for (std::string part = ReadRequest(socket); !part.empty();
       part = ReadRequest(socket)) {
    all += part;
  }
  return all;
}

// A connection to a port of the loopback address.
class Connection {
 public:
  explicit Connection(uint16_t port)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~Connection() { close(socket_); }

  int socket() const { return socket_; }

 private:
  int socket_;
};

constexpr char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpCall Get(const std::string& address) {
  HttpCall call;
  call.address = address;
  call.target = "/";
  return call;
}

}  // namespace

TEST_CASE(
    "a server sends complete and streamed responses and rejects large "
    "requests") {
  HttpServerOptions options;
  options.bind_ip = "127.0.0.1";
  options.port = FreePort();
  options.max_body_bytes = 1000;
  options.max_header_bytes = 1000;
  HttpServer server(options, [](HttpRequest request, auto responder) {
    if (request.path == "/stream") {
      responder->StartStream(200, {});
      responder->Write("one");
      responder->Write("two");
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

// Guards against: a caller takes the body of an answer to HEAD for the next
// response of the connection.
TEST_CASE("a server sends no body in a response to HEAD") {
  HttpServerOptions options;
  options.bind_ip = "127.0.0.1";
  options.port = FreePort();
  options.max_header_bytes = 1000;
  HttpServer server(options, [](const HttpRequest&, auto responder) {
    HttpResponse response;
    response.body = "body";
    responder->Send(std::move(response));
  });
  // With a field too many, the server itself responds, with an error.
  const bool rejected = GENERATE(false, true);
  CAPTURE(rejected);
  const std::string field =
      rejected ? "X-Long: " + std::string(2000, 'x') + "\r\n" : "";
  Connection connection(options.port);
  Write(connection.socket(),
        "HEAD / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n" +
            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string received = ReadAll(connection.socket());
  CAPTURE(received);
  const std::string end = "\r\n\r\n";
  REQUIRE(received.starts_with(rejected ? "HTTP/1.1 431 " : "HTTP/1.1 200 "));
  const size_t head_size = received.find(end) + end.size();
  const std::string head = received.substr(0, head_size);
  const std::string next = received.substr(head_size);
  // The length is the one that a response to GET would have.
  REQUIRE((head.find("Content-Length: 4\r\n") == std::string::npos) ==
          rejected);
  REQUIRE(next.starts_with("HTTP/1.1 200 "));
  REQUIRE(next.ends_with(end + "body"));
}

TEST_CASE("a truncated response is not reported as complete") {
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

TEST_CASE("a call with a dedicated connection is never sent twice") {
  // The peer responds once, then closes the pooled connection after reading the
  // next request. By default libcurl resends that request.
  for (bool dedicated : {false, true}) {
    Listener listener;
    std::atomic<int> requests = 0;
    std::thread peer([&] {
      int first = listener.Accept();
      ReadRequest(first);
      ++requests;
      Write(first, kCompleteResponse);
      // The next request uses this connection, or a dedicated one.
      int second = dedicated ? listener.Accept() : first;
      ReadRequest(second);
      ++requests;
      close(second);
      if (!dedicated) {
        int third = listener.Accept();
        ReadRequest(third);
        ++requests;
        Write(third, kCompleteResponse);
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
    call.dedicated_connection = dedicated;
    CallOutcome outcome = client.Run(call);
    peer.join();
    INFO("dedicated connection: " << dedicated);
    REQUIRE(requests == (dedicated ? 2 : 3));
    REQUIRE((outcome.result == CallResult::kConnectionBroken) == dedicated);
  }
}

TEST_CASE(
    "a stalled call times out and its late response reaches no other call") {
  Listener listener;
  std::thread peer([&] {
    int first = listener.Accept();
    ReadRequest(first);
    int second = listener.Accept();
    ReadRequest(second);
    // The late response to the first request, then the response to the second.
    (void)!write(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", 42);
    Write(second, kCompleteResponse);
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

TEST_CASE("a call whose connection is refused is definitely not sent") {
  HttpClient client(1);
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  REQUIRE(DefinitelyNotSent(client.Run(Get(address)).result));
}

TEST_CASE("hop-by-hop and excluded header fields are not forwarded") {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("X-Hop", "1");
  headers.Add("transfer-encoding", "chunked");
  headers.Add("X-Kept", "2");
  HttpHeaders forwarded = EndToEndHeaders(headers, {"x-dropped"});
  REQUIRE(forwarded.fields().size() == 1);
  REQUIRE(forwarded.Get("X-Kept") == "2");
  headers.Add("X-Dropped", "3");
  REQUIRE(EndToEndHeaders(headers, {"x-dropped"}).fields().size() == 1);
}

}  // namespace bilberrypitch
