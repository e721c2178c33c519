// Tests of the bytes that an instance writes: each message has exactly one
// framing, or none where HTTP has none, whatever the upstream's had.
#include <catch2/catch.hpp>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "raw_exchange.h"
#include "scripted_upstream.h"

namespace bilberrypitch {
namespace {

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr char kPlain[] = "the answer";

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (std::string_view part : parts) {
    text += part;
  }
  return text;
}

std::string Chunked(const std::string& body) {
  return "Transfer-Encoding: chunked\r\n\r\n" +
         fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

std::string WithLength(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers as the last segment of the path says, and keeps what it was sent.
class FramingUpstream {
 public:
  FramingUpstream()
      : upstream_([this](ScriptedConnection* connection,
                         const ScriptedRequest& request) {
          {
            std::lock_guard lock(mutex_);
            requests_.push_back(request.head + request.body);
          }
          Answer(connection, request);
        }) {}

  const std::string& address() const { return upstream_.address(); }
  std::vector<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  static void Answer(ScriptedConnection* connection,
                     const ScriptedRequest& request) {
    const bool is_stream = request.path.starts_with("/stream/");
    const std::string kind = request.path.substr(request.path.rfind('/') + 1);
    const std::string body = is_stream ? kEvents : kPlain;
    const std::string fields =
        "Request-Id: " + request.id + "\r\nAnswer-Stamp: stamp\r\n" +
        (is_stream ? "Content-Type: text/event-stream\r\n" : "");
    const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
    asio::error_code ec;
    if (request.head.starts_with("HEAD ")) {
      connection->Write(ok + "Content-Length: 10\r\n\r\n");
    } else if (kind == "chunked") {
      connection->Write(ok + Chunked(body));
    } else if (kind == "length") {
      connection->Write(ok + WithLength(body));
    } else if (kind == "close") {
      connection->Write(ok + "\r\n" + body);
      connection->socket.shutdown(asio::socket_base::shutdown_both, ec);
    } else if (kind == "twice") {
      connection->Write("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n" + fields +
                        (is_stream ? "" : "content-type: a/b\r\n") +
                        "Date: x\r\nDate: x\r\n" + WithLength(body));
    } else if (kind == "empty") {
      connection->Write(ok + WithLength(""));
    } else if (kind == "broken") {
      connection->Write(ok + "Transfer-Encoding: chunked\r\n\r\n" +
                        "f\r\nid: 1\ndata: a\n\n\r\n");
      connection->socket.shutdown(asio::socket_base::shutdown_both, ec);
    } else if (kind == "204" || kind == "304") {
      connection->Write("HTTP/1.1 " + kind + " Nothing\r\n" + fields + "\r\n");
    } else if (kind == "busy") {
      connection->Write("HTTP/1.1 503 Busy\r\nRequest-Id: " + request.id +
                        "\r\nNot-Run: 1\r\n" + WithLength(""));
    } else {
      connection->Write("HTTP/1.1 " + kind + " Status\r\n" + fields +
                        WithLength("as it is"));
    }
  }

  std::mutex mutex_;
  std::vector<std::string> requests_;
  ScriptedUpstream upstream_;
};

struct FramingCase {
  const char* method;
  const char* target;
  int status;
};

// One instance with one such upstream.
class FramingFixture {
 public:
  FramingFixture() {
    fixture_.PutUpstream("i-1", upstream_.address(), "ready", 2);
    fixture_.WaitUntilReady();
  }

  std::unique_ptr<RawExchange> Send(const std::string& address,
                                    const std::string& bytes,
                                    const StrictCaller& caller) {
    auto exchange = std::make_unique<RawExchange>(address, bytes, caller);
    fixture_.WaitUntil([&] { return exchange->done(); });
    return exchange;
  }

  std::unique_ptr<RawExchange> Send(const FramingCase& sent, bool is_http_1_0) {
    return Send(fixture_.caller_address(),
                RawRequest(sent.method, sent.target, NewId(),
                           is_http_1_0 ? "HTTP/1.0" : "HTTP/1.1"),
                {sent.method, is_http_1_0});
  }

  std::string NewId() { return "raw" + std::to_string(++last_id_); }
  Fixture& fixture() { return fixture_; }
  FramingUpstream& upstream() { return upstream_; }

 private:
  int last_id_ = 0;
  FramingUpstream upstream_;
  Fixture fixture_;
};

// The response is one message by strict rules, and nothing follows it.
void CheckResponse(const RawExchange& exchange, int status) {
  const StrictMessage response = exchange.response();
  CAPTURE(exchange.bytes());
  REQUIRE(response.fault.empty());
  REQUIRE(response.complete);
  REQUIRE(response.status() == status);
  REQUIRE(response.size == exchange.bytes().size());
}

}  // namespace

// Guards against: a stream is announced with a length of 0 beside its chunks,
// so that a strict caller or an intermediary drops it.
TEST_CASE("a stream is framed by chunks alone", "[framing]") {
  const char* target =
      GENERATE("/stream/chunked", "/stream/length", "/stream/close");
  CAPTURE(target);
  FramingFixture fixture;
  for (int i = 0; i < 3; ++i) {
    auto exchange = fixture.Send({"POST", target, 200}, false);
    CheckResponse(*exchange, 200);
    REQUIRE(exchange->response().CountOf("Transfer-Encoding") == 1);
    REQUIRE(exchange->response().body == kEvents);
  }
}

TEST_CASE("a response that is no stream has exactly one framing", "[framing]") {
  FramingFixture fixture;
  for (const FramingCase& sent :
       {// Such an answer is taken on a new connection only.
        FramingCase{"POST", "/once/close", 200},
        FramingCase{"POST", "/once/chunked", 200},
        FramingCase{"POST", "/once/length", 200},
        FramingCase{"GET", "/read/length", 200},
        FramingCase{"POST", "/once/empty", 200},
        FramingCase{"POST", "/once/404", 404},
        FramingCase{"POST", "/once/409", 409},
        FramingCase{"POST", "/once/500", 500},
        FramingCase{"POST", "/once/busy", 503},
        FramingCase{"POST", "/stream/404", 404},
        FramingCase{"POST", "/stream/500", 500},
        FramingCase{"POST", "/stream/busy", 503},
        FramingCase{"POST", "/none/x", 404},
        FramingCase{"GET", "/none/x", 404}}) {
    CAPTURE(sent.method, sent.target);
    auto exchange = fixture.Send(sent, false);
    CheckResponse(*exchange, sent.status);
    REQUIRE(exchange->response().CountOf("Content-Length") == 1);
  }
}

// Guards against: bytes behind a head that has no body are taken for the next
// response of the connection.
TEST_CASE("a response without a body has no framing of one", "[framing]") {
  const bool is_http_1_0 = GENERATE(false, true);
  CAPTURE(is_http_1_0);
  FramingFixture fixture;
  for (const FramingCase& sent : {FramingCase{"POST", "/once/204", 204},
                                  FramingCase{"POST", "/once/304", 304},
                                  FramingCase{"POST", "/stream/204", 204},
                                  FramingCase{"POST", "/stream/304", 304},
                                  FramingCase{"HEAD", "/once/length", 200},
                                  FramingCase{"HEAD", "/stream/length", 200},
                                  FramingCase{"HEAD", "/none/x", 404}}) {
    CAPTURE(sent.method, sent.target);
    CheckResponse(*fixture.Send(sent, is_http_1_0), sent.status);
  }
}

// Guards against: a caller of HTTP/1.0, which knows no chunks, reads their
// sizes as a part of the answer.
TEST_CASE("a caller of HTTP/1.0 gets a stream without chunks", "[framing]") {
  const char* target = GENERATE("/stream/chunked", "/stream/length",
                                "/stream/close", "/stream/empty");
  CAPTURE(target);
  FramingFixture fixture;
  auto exchange = fixture.Send({"POST", target, 200}, true);
  CheckResponse(*exchange, 200);
  const bool is_empty = std::string_view(target) == "/stream/empty";
  REQUIRE(exchange->response().body == (is_empty ? "" : kEvents));
}

TEST_CASE("a plain response to a caller of HTTP/1.0 has a length",
          "[framing]") {
  FramingFixture fixture;
  for (const char* target : {"/once/close", "/once/chunked", "/none/x"}) {
    CAPTURE(target);
    const int status = target == std::string_view("/none/x") ? 404 : 200;
    auto exchange = fixture.Send({"POST", target, status}, true);
    CheckResponse(*exchange, status);
    REQUIRE(exchange->response().CountOf("Content-Length") == 1);
  }
}

// Guards against: a stream that breaks off looks complete to a caller that
// knows no chunks.
TEST_CASE("a broken stream does not look complete", "[framing]") {
  const bool is_http_1_0 = GENERATE(false, true);
  CAPTURE(is_http_1_0);
  FramingFixture fixture;
  auto exchange = fixture.Send({"POST", "/stream/broken", 200}, is_http_1_0);
  const StrictMessage response = exchange->response();
  CAPTURE(exchange->bytes());
  REQUIRE(response.fault.empty());
  REQUIRE((!response.complete || response.status() >= 500));
}

TEST_CASE("the pages for operators and other instances have one framing",
          "[framing]") {
  FramingFixture fixture;
  const std::string ready = fixture.fixture().ready_address();
  const std::string peers = fixture.fixture().peer_address();
  const char* method = GENERATE("GET", "HEAD");
  const bool is_http_1_0 = GENERATE(false, true);
  CAPTURE(method, is_http_1_0);
  for (const auto& [address, target] :
       std::vector<std::pair<std::string, std::string>>{
           {ready, "/readyz"},
           {ready, "/metrics"},
           {ready, "/other"},
           {peers, "/state"},
           {peers, "/changes?after=0&hold_ms=10"},
           {peers, "/changes"},
           {peers, "/other"}}) {
    CAPTURE(address, target);
    auto exchange = fixture.Send(
        address,
        RawRequest(method, target, "", is_http_1_0 ? "HTTP/1.0" : "HTTP/1.1"),
        {method, is_http_1_0});
    const StrictMessage response = exchange->response();
    CAPTURE(exchange->bytes());
    REQUIRE(response.sound());
    REQUIRE(response.size == exchange->bytes().size());
  }
}

// Guards against: two framings, or a field twice that may stand once, in what
// an upstream is sent.
TEST_CASE("a request to an upstream has at most one framing", "[framing]") {
  FramingFixture fixture;
  const std::string address = fixture.fixture().caller_address();
  const std::string chunked =
      "POST /once/length HTTP/1.1\r\nHost: h\r\nRequest-Id: rawc\r\n"
      "Deadline-Ms: 3000\r\nAuthorization: Token k1\r\n" +
      Chunked("body");
  std::vector<std::pair<std::string, std::string>> sent = {{"POST", chunked}};
  for (const char* method : {"POST", "GET", "HEAD", "DELETE", "PUT"}) {
    for (const char* target :
         {"/once/length", "/read/length", "/stream/length"}) {
      sent.emplace_back(method, RawRequest(method, target, fixture.NewId()));
    }
  }
  sent.emplace_back("POST",
                    RawRequest("POST", "/once/length", "raws", "HTTP/1.1",
                               "Connection: keep-alive, x-one\r\nX-One: 1\r\n"
                               "Keep-Alive: timeout=5\r\nTE: trailers\r\n"));
  for (const auto& [method, bytes] : sent) {
    CAPTURE(bytes);
    CheckResponse(*fixture.Send(address, bytes, {method, false}), 200);
  }
  REQUIRE(fixture.upstream().requests().size() == sent.size());
  for (const std::string& request : fixture.upstream().requests()) {
    const StrictMessage message = ReadStrictRequest(request);
    CAPTURE(request);
    REQUIRE(message.fault.empty());
    REQUIRE(message.complete);
    REQUIRE(message.size == request.size());
  }
}

// Guards against: a request that others may read in another way is passed on,
// or dropped without a word.
TEST_CASE("a request with an ambiguous head is rejected", "[framing]") {
  FramingFixture fixture;
  const std::string address = fixture.fixture().caller_address();
  const std::string start = "POST /once/length HTTP/1.1\r\n";
  const std::string key = "Authorization: Token k1\r\nRequest-Id: raw1\r\n";
  const std::string host = "Host: h\r\n";
  const std::string length = "Content-Length: 4\r\n";
  const std::string coding = "Transfer-Encoding: chunked\r\n";
  const std::string smuggled = RawRequest("POST", "/once/length", "smuggled");
  for (const std::string& bytes :
       {Join({start, key, length, "\r\nbody"}),
        Join({"GET /read/length HTTP/3.0\r\n", key, host, "\r\n"}),
        Join({start, key, host, host, length, "\r\nbody"}),
        Join({start, key, host, "Content-Length : 4\r\n\r\n", smuggled}),
        Join({start, key, host, "Authorization: Token k2\r\n", length,
              "\r\nbody"}),
        Join({start, key, "Host : h\r\n", length, "\r\nbody"}),
        Join({start, key, host, length, coding, "\r\n0\r\n\r\n", smuggled}),
        Join({start, key, host, length, length, "\r\nbody"}),
        Join({start, key, host, "Content-Length: +4\r\n\r\nbody"}),
        Join(
            {start, key, host, "Transfer-Encoding: gzip\r\n\r\n", smuggled})}) {
    CAPTURE(bytes);
    auto exchange = fixture.Send(address, bytes, {});
    CheckResponse(*exchange, 400);
    REQUIRE(exchange->ended());
    REQUIRE(exchange->response().ValueOf("Connection") == "close");
  }
  REQUIRE(fixture.upstream().requests().empty());
}

TEST_CASE("a caller that waits to send its body is served", "[framing]") {
  FramingFixture fixture;
  const std::string head = RawRequest("POST", "/once/length", "raw1",
                                      "HTTP/1.1", "Expect: 100-continue\r\n");
  const std::string body = "body";
  auto exchange = std::make_unique<RawExchange>(
      fixture.fixture().caller_address(),
      head.substr(0, head.size() - body.size()), StrictCaller(), body);
  fixture.fixture().WaitUntil([&] { return exchange->done(); });
  REQUIRE(exchange->bytes().starts_with("HTTP/1.1 100 Continue\r\n\r\n"));
  CheckResponse(*exchange, 200);
}

// Guards against: the library reads nothing behind such a request, so that the
// next one on the connection is never answered.
TEST_CASE("a request for another protocol ends its connection", "[framing]") {
  FramingFixture fixture;
  for (const std::string& bytes :
       {RawRequest("GET", "/read/length", "raw1", "HTTP/1.1",
                   "Connection: Upgrade\r\nUpgrade: websocket\r\n"),
        RawRequest("CONNECT", "h:80", "raw2")}) {
    CAPTURE(bytes);
    auto exchange = fixture.Send(fixture.fixture().caller_address(), bytes, {});
    REQUIRE(exchange->response().sound());
    REQUIRE(exchange->ended());
    REQUIRE(exchange->response().ValueOf("Connection") == "close");
  }
}

// Guards against: a caller gets a field twice that may stand once.
TEST_CASE("a field that may stand once is written once", "[framing]") {
  FramingFixture fixture;
  for (const char* target : {"/once/twice", "/stream/twice"}) {
    CAPTURE(target);
    auto exchange = fixture.Send({"POST", target, 200}, false);
    CheckResponse(*exchange, 200);
    REQUIRE(exchange->response().CountOf("Content-Type") == 1);
  }
}

// Guards against: the instance follows the first of two fields and the upstream
// the second, so that a request runs on another adapter than it was routed for.
TEST_CASE("a request with two fields of which one may stand is rejected",
          "[framing]") {
  FramingFixture fixture;
  for (const char* fields :
       {"Request-Id: other\r\n", "Deadline-Ms: 9000\r\n",
        "Model: a/x\r\nmodel: a/y\r\n", "Tokens: 1,1\r\nTokens: 2,2\r\n",
        "Prompt-Prefix: 1:1\r\nPrompt-Prefix: 2:1\r\n"}) {
    CAPTURE(fields);
    auto exchange = fixture.Send(
        fixture.fixture().caller_address(),
        RawRequest("POST", "/once/length", "raw1", "HTTP/1.1", fields), {});
    CheckResponse(*exchange, 400);
  }
  REQUIRE(fixture.upstream().requests().empty());
}

// Guards against: two framings, or a field twice, in a call to the store or in
// an order; and a response of theirs with two framings that is believed.
TEST_CASE("calls to the store and orders have one framing", "[framing]") {
  const bool two_framings = GENERATE(false, true);
  CAPTURE(two_framings);
  std::mutex mutex;
  std::vector<std::string> received;
  ScriptedUpstream peer(
      [&](ScriptedConnection* connection, const ScriptedRequest& request) {
        {
          std::lock_guard lock(mutex);
          received.push_back(request.head + request.body);
        }
        const std::string body =
            R"({"at":5,"rev":5,"items":[],"events":[],"lease":7,"ttlMs":1000,)"
            R"("seq":3,"models":[]})";
        const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
        // To one who follows the chunks alone, both are the same.
        connection->Write(two_framings
                              ? head + "Content-Length: 9\r\n" + Chunked(body)
                              : head + WithLength(body));
      });
  Fixture fixture;
  platform::StoreClient store(fixture.control(), peer.address());
  platform::EngineClient engines(fixture.control());
  int believed = 0;
  int ended = 0;
  auto count = [&](bool ok) {
    ++ended;
    believed += ok ? 1 : 0;
  };
  auto is_ok = [](StoreOutcome outcome) {
    return outcome == StoreOutcome::kOk;
  };
  store.ReadPage("servers/", "",
                 [&](const StorePage& it) { count(is_ok(it.outcome)); });
  store.Watch("op/", StoreRevision(), Millis(100),
              [&](const StoreWatchResult& it) { count(is_ok(it.outcome)); });
  store.Commit({{}, {{"k", "v", 0}}, {}},
               [&](const StoreCommitResult& it) { count(is_ok(it.outcome)); });
  store.GrantLease(Millis(1000), [&](const StoreLeaseResult& it) {
    count(is_ok(it.outcome));
  });
  store.RenewLease(
      7, [&](const StoreLeaseResult& it) { count(is_ok(it.outcome)); });
  store.RevokeLease(7);
  EngineOrder order;
  order.address = peer.address();
  order.engine = UpstreamId("i-9");
  order.target.model = ModelId("m");
  order.machine = "m1";
  engines.SendOrder(order, [&](OrderOutcome outcome) {
    count(outcome == OrderOutcome::kAlreadyDone);
  });
  engines.FetchReport(UpstreamId("i-9"), peer.address(),
                      [&](bool ok, const EngineReport&) { count(ok); });
  constexpr int kCalls = 7;  // With an outcome.
  fixture.WaitUntil([&] {
    std::lock_guard lock(mutex);
    return ended == kCalls && received.size() > kCalls;
  });
  REQUIRE(believed == (two_framings ? 0 : kCalls));
  for (const std::string& request : received) {
    const StrictMessage message = ReadStrictRequest(request);
    CAPTURE(request);
    REQUIRE(message.sound());
    REQUIRE(message.size == request.size());
  }
}

}  // namespace bilberrypitch
