// One instance on a loop: the platform's edge, a store in memory, and plain
// upstreams and an engine that speak HTTP.
#include "gateway/gateway.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "fake_store.h"
#include "platform/engine_client.h"
#include "platform/request_codec.h"
#include "platform/store_records.h"
#include "transport/event_loop_http_client.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

uint16_t FreePort() {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  socklen_t n = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return ntohs(address.sin_port);
}

std::string LocalAddress(uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

// An upstream whose answers a test sets.
class Upstream {
 public:
  using Answer = std::function<void(const HttpRequest&, Responder*)>;

  explicit Upstream(EventLoop* loop) : port_(FreePort()) {
    HttpServerOptions options;
    options.bind_ip = "127.0.0.1";
    options.port = port_;
    options.loop = loop;
    options.on_connection_closed = [this](uint64_t) { ++closed_; };
    server_ = std::make_unique<HttpServer>(
        options,
        [this](HttpRequest request, std::shared_ptr<Responder> responder) {
          requests_.push_back(request);
          open_.push_back(responder);
          answer_(request, responder.get());
        });
  }

  std::string address() const { return LocalAddress(port_); }
  void SetAnswer(Answer answer) { answer_ = std::move(answer); }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  int closed() const { return closed_; }

  static HttpResponse Good(const HttpRequest& request) {
    HttpResponse response;
    response.headers.Add("Request-Id",
                         std::string(request.headers.Get("Request-Id")));
    response.headers.Add("Answer-Stamp", "stamp");
    response.body = "answer";
    return response;
  }

 private:
  const uint16_t port_;
  Answer answer_ = [](const HttpRequest& request, Responder* responder) {
    responder->Send(Good(request));
  };
  std::vector<HttpRequest> requests_;
  std::vector<std::shared_ptr<Responder>> open_;  // Else they answer 500.
  int closed_ = 0;
  std::unique_ptr<HttpServer> server_;
};

class Fixture {
 public:
  Fixture()
      : client_(&loop),
        control_(&loop),
        store(&loop),
        engines_(&control_),
        first(&loop),
        second(&loop) {
    settings_.machine = MachineId("m1");
    settings_.ip = "127.0.0.1";
    settings_.zone = ZoneId("z");
    settings_.caller_address = LocalAddress(FreePort());
    settings_.ready_address = LocalAddress(FreePort());
    settings_.peer_address = LocalAddress(FreePort());
    settings_.bounds.key_revocation = Millis(1500);
    PutConfig(1, "\"k1\"");
    PutUpstream("i-1", first.address(), "ready");
    GatewayDeps ports;
    ports.loop = &loop;
    ports.client = &client_;
    ports.store = &store;
    ports.engines = &engines_;
    ports.codec = &codec_;
    ports.decode_record = platform::DecodeStoreRecord;
    gateway = std::make_unique<Gateway>(settings_, ports);
  }

  void PutConfig(int version, const std::string& keys) {
    store.Put("op/config", fmt::format(R"({{"version":{},"routes":[
      {{"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent",
        "timeoutMs":2000,"goalMs":300,"attempts":1,"service":"s"}},
      {{"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
        "timeoutMs":2000,"goalMs":300,"attempts":2,"service":"s"}},
      {{"name":"stream","host":"h","prefix":"/stream/","kind":"stream",
        "timeoutMs":2000,"goalMs":300,"attempts":1,"service":"s"}}],
      "services":[{{"name":"s"}}],
      "tenants":[{{"name":"w","apiKeys":[{}]}}]}})",
                                       version, keys));
  }

  void PutUpstream(const std::string& id, const std::string& address,
                   const std::string& state) {
    store.Put("servers/" + id,
              fmt::format(R"({{"service":"s","addr":"{}","zone":"z",
                "capacity":6,"state":"{}","born":1}})",
                          address, state));
  }

  // Runs the loop until `done`, or fails.
  void Until(const std::function<bool()>& done) {
    Timer check(&loop);
    Millis end = EventLoop::Now() + Millis(10 * 1000);
    std::function<void()> look = [&] {
      if (done() || EventLoop::Now() > end) {
        loop.Stop();
        return;
      }
      check.Start(Millis(5), look);
    };
    look();
    if (!done()) {
      loop.Restart();
      loop.Run();
    }
    loop.Restart();
    REQUIRE(done());
  }

  HttpCall CallTo(const std::string& path, const std::string& key) {
    HttpCall call;
    call.method = "POST";
    call.address = settings_.caller_address;
    call.target = path;
    call.body = "body";
    call.headers.Add("Host", "h");
    call.headers.Add("Request-Id", fmt::format("id{}", ++ids_));
    call.headers.Add("Deadline-Ms", "3000");
    call.headers.Add("Authorization", "Token " + key);
    return call;
  }

  CallOutcome Ask(const std::string& path, const std::string& key = "k1") {
    std::optional<CallOutcome> result;
    HttpCall call = CallTo(path, key);
    call.on_done = [&](CallOutcome outcome) { result = std::move(outcome); };
    control_.Start(std::move(call));
    Until([&] { return result.has_value(); });
    return *result;
  }

  // Asks again until an answer has this status.
  void UntilAnswer(int status, const std::string& key = "k1") {
    int last = 0;
    Millis end = EventLoop::Now() + Millis(10 * 1000);
    while (last != status && EventLoop::Now() < end) {
      last = Ask("/once/x", key).status;
    }
    REQUIRE(last == status);
  }

  int ReadyStatus() {
    std::optional<int> status;
    HttpCall call;
    call.address = settings_.ready_address;
    call.target = "/readyz";
    call.on_done = [&](const CallOutcome& it) { status = it.status; };
    control_.Start(std::move(call));
    Until([&] { return status.has_value(); });
    return *status;
  }

  void UntilReady() {
    Millis end = EventLoop::Now() + Millis(10 * 1000);
    while (ReadyStatus() != 200 && EventLoop::Now() < end) {
    }
    REQUIRE(ReadyStatus() == 200);
  }

  EventLoop loop;

 private:
  EventLoopHttpClient client_;
  EventLoopHttpClient control_;

 public:
  FakeStore store;

 private:
  platform::EngineClient engines_;
  platform::RequestCodec codec_;
  InstanceSettings settings_;
  int ids_ = 0;

 public:
  Upstream first;
  Upstream second;
  std::unique_ptr<Gateway> gateway;

  EventLoopHttpClient* control() { return &control_; }
};

}  // namespace

TEST_CASE("a request is served with its key kept back", "[gateway]") {
  Fixture it;
  it.UntilReady();
  CallOutcome outcome = it.Ask("/once/x");
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == "answer");
  REQUIRE(outcome.headers.Get("Answer-Stamp") == "stamp");
  const HttpRequest& seen = it.first.requests().at(0);
  REQUIRE(seen.headers.Get("Tenant") == "w");
  REQUIRE(seen.headers.Get("Expect-Instance") == "i-1");
  REQUIRE(seen.headers.Get("Authorization").empty());
  REQUIRE(it.Ask("/nowhere/").status == 404);
  REQUIRE(it.Ask("/once/x", "wrong").status == 401);
}

TEST_CASE("what may run once is never sent again after a break", "[gateway]") {
  Fixture it;
  it.PutUpstream("i-2", it.second.address(), "ready");
  it.UntilReady();
  auto broken = [](const HttpRequest&, Responder* responder) {
    responder->StartStream(200, {});
    responder->AbortStream();
  };
  it.first.SetAnswer(broken);
  it.second.SetAnswer(broken);
  CallOutcome outcome = it.Ask("/once/x");
  REQUIRE(outcome.status == 502);
  REQUIRE(it.first.requests().size() + it.second.requests().size() == 1);
}

TEST_CASE("an idempotent request is tried at another upstream", "[gateway]") {
  Fixture it;
  it.PutUpstream("i-2", it.second.address(), "ready");
  it.UntilReady();
  it.first.SetAnswer([](const HttpRequest& request, Responder* responder) {
    HttpResponse response = Upstream::Good(request);
    response.status = 500;
    responder->Send(std::move(response));
  });
  for (int i = 0; i < 4; ++i) {
    REQUIRE(it.Ask("/read/x").status == 200);
  }
}

TEST_CASE("an answer to another request is not passed on", "[gateway]") {
  Fixture it;
  it.UntilReady();
  it.first.SetAnswer([](const HttpRequest& request, Responder* responder) {
    HttpResponse response = Upstream::Good(request);
    response.headers = HttpHeaders();
    response.headers.Add("Request-Id", "another");
    response.headers.Add("Answer-Stamp", "stamp");
    responder->Send(std::move(response));
  });
  REQUIRE(it.Ask("/once/x").status == 502);
  it.first.SetAnswer([](const HttpRequest& request, Responder* responder) {
    HttpResponse response = Upstream::Good(request);
    response.headers = HttpHeaders();  // Unsigned.
    responder->Send(std::move(response));
  });
  REQUIRE(it.Ask("/once/x").status == 502);
}

TEST_CASE("a withdrawn key ends with the configuration", "[gateway]") {
  Fixture it;
  it.UntilReady();
  REQUIRE(it.Ask("/once/x").status == 200);
  it.PutConfig(2, "\"k2\"");
  it.UntilAnswer(401);
  REQUIRE(it.Ask("/once/x", "k2").status == 200);
}

TEST_CASE("an older configuration never comes back into force", "[gateway]") {
  Fixture it;
  it.PutConfig(5, "\"k5\"");
  it.UntilReady();
  it.PutConfig(4, "\"k4\"");
  it.PutUpstream("i-9", it.second.address(), "ready");
  Millis end = EventLoop::Now() + Millis(10 * 1000);
  while (it.second.requests().empty() && EventLoop::Now() < end) {
    it.Ask("/once/x", "k5");
  }
  REQUIRE_FALSE(it.second.requests().empty());
  REQUIRE(it.Ask("/once/x", "k4").status == 401);
  REQUIRE(it.Ask("/once/x", "k5").status == 200);
}

TEST_CASE("keyed requests are refused when the store stays silent",
          "[gateway]") {
  Fixture it;
  it.UntilReady();
  REQUIRE(it.Ask("/once/x").status == 200);
  it.store.SetOut(true);
  it.UntilAnswer(503);
  size_t before = it.first.requests().size();
  REQUIRE(it.Ask("/once/x").status == 503);
  REQUIRE(it.first.requests().size() == before);
  REQUIRE(it.ReadyStatus() == 503);
  it.store.SetOut(false);
  it.UntilAnswer(200);
}

TEST_CASE("a draining upstream gets nothing new", "[gateway]") {
  Fixture it;
  it.PutUpstream("i-2", it.second.address(), "ready");
  it.UntilReady();
  it.PutUpstream("i-1", it.first.address(), "draining");
  it.store.DropHistory();  // Also when the change itself is not seen.
  Millis changed = EventLoop::Now();
  it.Until([&] { return EventLoop::Now() - changed > Millis(2000); });
  size_t before = it.first.requests().size();
  for (int i = 0; i < 5; ++i) {
    REQUIRE(it.Ask("/once/x").status == 200);
  }
  REQUIRE(it.first.requests().size() == before);
}

TEST_CASE("a broken stream does not look complete", "[gateway]") {
  Fixture it;
  it.UntilReady();
  it.first.SetAnswer([](const HttpRequest& request, Responder* responder) {
    responder->StartStream(200, Upstream::Good(request).headers);
    responder->WriteChunk("id: 1\ndata: a\n\nid: 2\ndata", {});
    responder->AbortStream();
  });
  CallOutcome outcome = it.Ask("/stream/x");
  REQUIRE(outcome.result == CallResult::kConnectionBroken);
  REQUIRE(outcome.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("an upstream's run is cancelled when the caller leaves",
          "[gateway]") {
  Fixture it;
  it.UntilReady();
  it.first.SetAnswer([](const HttpRequest&, Responder*) {});
  CallId call = it.control()->Start(it.CallTo("/once/x", "k1"));
  it.Until([&] { return it.first.requests().size() == 1; });
  int before = it.first.closed();
  it.control()->Cancel(call);
  Millis left = EventLoop::Now();
  it.Until([&] { return it.first.closed() > before; });
  REQUIRE(EventLoop::Now() - left < Millis(500));
}

TEST_CASE("the route's timeout gives a final answer", "[gateway]") {
  Fixture it;
  it.UntilReady();
  it.first.SetAnswer([](const HttpRequest&, Responder*) {});
  Millis begun = EventLoop::Now();
  CallOutcome outcome = it.Ask("/once/x");
  REQUIRE(outcome.status == 504);
  REQUIRE(EventLoop::Now() - begun < Millis(2500));
}

TEST_CASE("a stop refuses what comes late and ends what is open", "[gateway]") {
  Fixture it;
  it.UntilReady();
  bool stopped = false;
  it.gateway->Stop([&] { stopped = true; });
  REQUIRE(it.ReadyStatus() == 503);
  CallOutcome early = it.Ask("/once/x");
  REQUIRE(early.status == 200);
  REQUIRE(early.headers.Get("Connection") == "close");
  it.Until([&] { return stopped; });
  CallOutcome late = it.Ask("/once/x");
  REQUIRE(late.status == 503);
  REQUIRE_FALSE(late.headers.Get("Retry-After").empty());
}

}  // namespace bilberrypitch
