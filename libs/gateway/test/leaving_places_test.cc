// Tests of each place that sends to upstreams, with each way by which an
// instance learns that one leaves. What a response of its own says is in
// leaving_upstream_test.cc.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine_config.h"
#include "fencing_engine.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "gateway_fixture.h"
#include "schema/cluster.pb.h"

namespace bilberrypitch {
namespace {

constexpr int kOkStatus = 200;
constexpr int kUnavailableStatus = 503;
// For records and messages to arrive.
constexpr Millis kNewsTime{250};
// For a new member to be known.
constexpr Millis kMemberTime{150};
// A request that waits for an upstream that leaves is told so within this time.
constexpr Millis kTarget{1000};
// From the start of an instance until it may send orders to an engine.
constexpr Millis kUntilOwned{5500};

// How the instance learns that the upstream leaves.
enum class Source : uint8_t {
  kEntryDrains,
  kEntryIsRemoved,
  kPeer,
  kPeerWithoutStore,
};

Source AnySource() {
  return GENERATE(Source::kEntryDrains, Source::kEntryIsRemoved, Source::kPeer,
                  Source::kPeerWithoutStore);
}

// An instance, and another one that is played by the test.
class PeerFixture : public Fixture {
 public:
  PeerFixture() {
    other_.machine = MachineId("m9");
    other_.boot = BootId("b9");
    other_.zone = ZoneId("x");
    other_.address = LocalAddress(FreePort());
    messenger_ = std::make_unique<PeerMessenger>(
        &loop, other_, [](const MachineId&, const schema::PeerItem&) {});
    ClusterMember instance;
    instance.machine = MachineId("m1");
    instance.address = peer_address();
    messenger_->SetMember(instance);
  }

  // `started_ms`: of the upstream's start.
  void LetLeave(const std::string& id, int64_t started_ms, Source source) {
    const std::string key = "servers/" + id;
    std::string entry = store.ValueOf(key);
    switch (source) {
      case Source::kEntryDrains:
        entry.replace(entry.find("ready"), 5, "draining");
        store.Put(key, entry);
        break;
      case Source::kEntryIsRemoved:
        store.Remove(key);
        break;
      case Source::kPeer:
      case Source::kPeerWithoutStore:
        store.Put(MemberKey(other_), EncodeMember(other_));
        WaitFor(kMemberTime);
        store.SetUnavailable(source == Source::kPeerWithoutStore);
        Tell(id, started_ms);
        break;
    }
  }

 private:
  void Tell(const std::string& id, int64_t started_ms) {
    schema::PeerItem item;
    item.mutable_leaving_news()->set_upstream(id);
    item.mutable_leaving_news()->set_started_ms(started_ms);
    messenger_->Broadcast(item);
  }

  ClusterMember other_;
  std::unique_ptr<PeerMessenger> messenger_;
};

// Two upstreams that hold requests. One gets a request, the other one leaves.
class HoldingFixture : public PeerFixture {
 public:
  HoldingFixture() {
    PutUpstream("i-2", second.address(), "ready");
    first.SetHandler([this](const HttpRequest& request, Responder* to) {
      OnRequest("i-1", request, to);
    });
    second.SetHandler([this](const HttpRequest& request, Responder* to) {
      OnRequest("i-2", request, to);
    });
    WaitUntilReady();
    WaitFor(kNewsTime);
  }

  // Returns once one of them has the request and knows that the other leaves.
  void SendAndLetOtherLeave(const std::string& path, Source source) {
    HttpCall call = CallTo(path, "k1");
    call.on_done = [this](CallOutcome done) { outcome = std::move(done); };
    control()->Start(std::move(call));
    WaitUntil([this] { return holder != nullptr; });
    LetLeave(held_by == "i-1" ? "i-2" : "i-1", 1, source);
    WaitFor(kNewsTime);
  }

  Responder* holder = nullptr;
  std::string held_by;
  HttpRequest held;
  int elsewhere = 0;  // Requests that the other one got.
  std::optional<CallOutcome> outcome;

 private:
  void OnRequest(const std::string& id, const HttpRequest& request,
                 Responder* to) {
    if (holder == nullptr) {
      holder = to;
      held_by = id;
      held = request;
    } else {
      elsewhere += id == held_by ? 0 : 1;
      to->Send(FakeUpstream::OkResponse(request));
    }
  }
};

}  // namespace

// Guards against: first attempts of some kind, or streams that a caller takes
// up, go to an upstream that leaves.
TEST_CASE("no first attempt goes to an upstream that leaves", "[places]") {
  const Source source = AnySource();
  CAPTURE(static_cast<int>(source));
  PeerFixture fixture;
  fixture.PutUpstream("i-2", fixture.second.address(), "ready");
  fixture.WaitUntilReady();
  fixture.WaitFor(kNewsTime);
  fixture.LetLeave("i-1", 1, source);
  fixture.WaitFor(kNewsTime);
  for (int i = 0; i < 8; ++i) {
    REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
    REQUIRE(fixture.SendRequest("/read/x").status == kOkStatus);
    fixture.SendRequest("/stream/x");
    fixture.SendRequest("/resume/x");
  }
  for (int i = 0; i < 3; ++i) {
    HttpCall take_up = fixture.CallTo("/resume/x", "k1");
    take_up.headers.Add("Last-Event-Id", "1");
    fixture.Send(std::move(take_up));
  }
  REQUIRE(fixture.first.requests().empty());
  REQUIRE_FALSE(fixture.second.requests().empty());
}

// Guards against: a request that failed at one upstream is sent once more to
// one that leaves.
TEST_CASE("no retry goes to an upstream that leaves", "[places]") {
  const Source source = AnySource();
  CAPTURE(static_cast<int>(source));
  HoldingFixture fixture;
  fixture.SendAndLetOtherLeave("/read/x", source);
  HttpResponse response = FakeUpstream::OkResponse(fixture.held);
  response.status = 500;
  fixture.holder->Send(std::move(response));
  fixture.WaitUntil([&] { return fixture.outcome.has_value(); });
  REQUIRE(fixture.elsewhere == 0);
}

// Guards against: a stream that breaks off goes on at an upstream that leaves.
TEST_CASE("no stream goes on at an upstream that leaves", "[places]") {
  const Source source = AnySource();
  CAPTURE(static_cast<int>(source));
  HoldingFixture fixture;
  fixture.SendAndLetOtherLeave("/resume/x", source);
  fixture.holder->StartStream(kOkStatus,
                              FakeUpstream::OkResponse(fixture.held).headers);
  fixture.holder->Write("id: 1\ndata: a\n\n");
  fixture.WaitFor(Millis(50));
  fixture.holder->AbortStream();
  fixture.WaitUntil([&] { return fixture.outcome.has_value(); });
  REQUIRE(fixture.elsewhere == 0);
}

// Guards against: a request that waits for the turn of its permit is sent to an
// upstream that leaves meanwhile, or waits for the turn first.
TEST_CASE("a request with a permit for an upstream that leaves is rejected",
          "[places]") {
  const Source source = AnySource();
  CAPTURE(static_cast<int>(source));
  PeerFixture fixture;
  fixture.first.SetHandler([](const HttpRequest& request, Responder* to) {
    HttpResponse response = FakeUpstream::OkResponse(request);
    response.headers.Add("Server-Limit", "0.6");
    to->Send(std::move(response));
  });
  fixture.WaitUntilReady();
  fixture.WaitFor(kNewsTime);
  REQUIRE(fixture.SendRequest("/once/x").status == kOkStatus);
  Millis begin = EventLoop::Now();
  std::optional<CallOutcome> outcome;
  HttpCall call = fixture.CallTo("/once/x", "k1");
  call.on_done = [&](CallOutcome done) { outcome = std::move(done); };
  fixture.control()->Start(std::move(call));
  fixture.WaitFor(Millis(100));
  REQUIRE_FALSE(outcome.has_value());
  fixture.LetLeave("i-1", 1, source);
  fixture.WaitUntil([&] { return outcome.has_value(); });
  REQUIRE(outcome->status == kUnavailableStatus);
  REQUIRE(EventLoop::Now() - begin < kTarget);
  REQUIRE(fixture.first.requests().size() == 1);
}

// Guards against: a request that waits for an adapter or a prefill grant is
// sent to an engine that leaves meanwhile, or waits on; and the engine gets
// orders and questions from its owner.
TEST_CASE("a request that waits for an engine that leaves is rejected",
          "[places]") {
  const Source source = AnySource();
  const bool waits_for_adapter = GENERATE(false, true);
  CAPTURE(static_cast<int>(source), waits_for_adapter);
  PeerFixture fixture;
  FencingEngine engine;
  int control_calls = 0;
  int orders = 0;
  int received = 0;
  fixture.first.SetHandler([&](const HttpRequest& request, Responder* to) {
    bool is_order = request.path == "/order";
    bool is_request = request.path == "/ask/x";
    orders += is_order ? 1 : 0;
    control_calls += is_request ? 0 : 1;
    received += is_request ? 1 : 0;
    // Requests stay without a response, and so do orders unless it loads.
    if (!is_request && !(is_order && waits_for_adapter)) {
      engine.Handle(request, to);
    }
  });
  fixture.store.Put("op/config", kStreamEngineConfig);
  fixture.store.Put("servers/e-1", engine.Entry(fixture.first.address()));
  fixture.WaitUntilReady();
  fixture.WaitFor(kUntilOwned);
  std::vector<int> statuses;
  auto send = [&] {
    HttpCall call = fixture.CallTo("/ask/x", "k1");
    call.headers.Add("Model", "m/a1");
    call.headers.Add("Tokens", "5000,5");
    call.on_done = [&](const CallOutcome& outcome) {
      statuses.push_back(outcome.status);
    };
    fixture.control()->Start(std::move(call));
  };
  send();
  if (waits_for_adapter) {
    fixture.WaitUntil([&] { return orders > 0; });
  } else {
    fixture.WaitUntil([&] { return received == 1; });
    send();
    fixture.WaitFor(kNewsTime);
  }
  int received_before = received;
  REQUIRE(statuses.empty());
  constexpr int64_t kStartedMs = 5;  // Of the engine's entry.
  Millis begin = EventLoop::Now();
  fixture.LetLeave("e-1", kStartedMs, source);
  fixture.WaitUntil([&] { return !statuses.empty(); });
  REQUIRE(statuses == std::vector<int>{kUnavailableStatus});
  REQUIRE(EventLoop::Now() - begin < kTarget);
  REQUIRE(received == received_before);
  int control_calls_before = control_calls;
  fixture.WaitFor(kTarget);
  REQUIRE(control_calls == control_calls_before);
}

}  // namespace bilberrypitch
