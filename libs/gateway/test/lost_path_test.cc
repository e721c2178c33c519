// Tests of an instance that has callers, a store and peers, but no path to the
// upstreams.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cut_link.h"
#include "gateway/request_handler.h"
#include "gateway/serving_state.h"
#include "transport/responder.h"

namespace bilberrypitch {
namespace {

constexpr int kUpstreams = 4;
// Within this time after the cut, requests may fail.
constexpr Millis kNoticeTime{3000};

// Two instances; the path of the second one can be cut. Requests go to it.
class LostPathFixture : public Fixture {
 public:
  LostPathFixture() {
    store.Remove("servers/i-1");
    std::map<std::string, std::string> addresses;
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<FakeUpstream>(&loop));
      FakeUpstream* upstream = upstreams_.back().get();
      upstream->SetHandler([this](const HttpRequest& request, Responder* to) {
        Answer(request, to);
      });
      PutUpstream(fmt::format("u-{}", i), upstream->address(), "ready", 2);
      links_.push_back(std::make_unique<CutLink>(upstream->address()));
      addresses[upstream->address()] = links_.back()->address();
    }
    access_ = std::make_unique<ReaddressingStore>(&store, addresses);
    WaitUntilReady();
    second = StartSecond(access_.get(), "y");
    WaitUntilReady();
    Millis end = EventLoop::Now() + Millis(5000);
    for (const char* path : {"/once/x", "/resume/x"}) {
      while (SendRequest(path).status != 200) {
        REQUIRE(EventLoop::Now() < end);
      }
    }
  }

  void SetLinks(LinkState state) {
    for (const auto& link : links_) {
      link->Set(state);
    }
  }
  // Callers go on while the cut is noticed.
  void SendDuring(Millis time) {
    Millis end = EventLoop::Now() + time;
    std::vector<std::unique_ptr<std::optional<CallOutcome>>> outcomes;
    while (EventLoop::Now() < end) {
      for (const char* path : {"/once/x", "/read/x", "/stream/x"}) {
        outcomes.push_back(std::make_unique<std::optional<CallOutcome>>());
        HttpCall call = CallTo(path, "k1");
        call.on_done = [to = outcomes.back().get()](CallOutcome outcome) {
          *to = std::move(outcome);
        };
        control()->Start(std::move(call));
      }
      WaitFor(Millis(100));
    }
    WaitUntil([&] {
      return std::all_of(outcomes.begin(), outcomes.end(),
                         [](const auto& it) { return it->has_value(); });
    });
  }
  // Cuts the first instance off too.
  void CutAll() { upstreams_.clear(); }
  size_t held_streams() const { return held_.size(); }
  int closed_connections() const {
    int closed = 0;
    for (const auto& upstream : upstreams_) {
      closed += upstream->closed_connections();
    }
    return closed;
  }
  // Streams send an event and then nothing more.
  void HoldStreams() { holds_streams_ = true; }
  // How often each request ran.
  const std::map<std::string, int>& runs() const { return runs_; }

  std::unique_ptr<Gateway> second;

 private:
  void Answer(const HttpRequest& request, Responder* to) {
    ++runs_[std::string(request.headers.Get("Request-Id"))];
    if (request.path.starts_with("/once/") ||
        request.path.starts_with("/read/")) {
      to->Send(FakeUpstream::OkResponse(request));
      return;
    }
    to->StartStream(200, FakeUpstream::OkResponse(request).headers);
    to->Write("id: 1\ndata: a\n\n");
    if (holds_streams_) {
      held_.push_back(to);
      return;
    }
    to->Write("id: 2\ndata: b\n\n");
    to->EndStream();
  }

  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<CutLink>> links_;
  std::unique_ptr<ReaddressingStore> access_;
  std::map<std::string, int> runs_;
  bool holds_streams_ = false;
  std::vector<Responder*> held_;
};

}  // namespace

// Guards against: callers of an instance that has lost its path to the
// upstreams are served far worse than those of the others.
TEST_CASE("an instance without a path to upstreams serves its callers",
          "[path]") {
  const LinkState state =
      GENERATE(LinkState::kRefused, LinkState::kHanging, LinkState::kNoNew);
  CAPTURE(static_cast<int>(state));
  LostPathFixture fixture;
  fixture.SetLinks(state);
  fixture.SendDuring(kNoticeTime);
  int failed = 0;
  for (int i = 0; i < 24; ++i) {
    const char* paths[] = {"/once/x", "/read/x", "/stream/x", "/resume/x"};
    const char* path = paths[i % 4];
    CallOutcome outcome = fixture.SendRequest(path);
    CAPTURE(path, outcome.status, outcome.body);
    const bool is_stream = i % 4 >= 2;
    failed += outcome.status == 200 ? 0 : 1;
    if (outcome.status == 200) {
      REQUIRE(outcome.result == CallResult::kComplete);
      REQUIRE(outcome.headers.Get("Answer-Stamp") == "stamp");
      REQUIRE(outcome.body ==
              (is_stream ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "answer"));
    }
  }
  REQUIRE(failed == 0);
  for (const auto& [id, runs] : fixture.runs()) {
    CAPTURE(id);
    REQUIRE(runs == 1);
  }
}

TEST_CASE("a path that is back is used again", "[path]") {
  const LinkState state = GENERATE(LinkState::kRefused, LinkState::kHanging);
  CAPTURE(static_cast<int>(state));
  LostPathFixture fixture;
  fixture.SetLinks(state);
  fixture.SendDuring(kNoticeTime);
  REQUIRE(fixture.ReadyStatus() == 503);
  fixture.SetLinks(LinkState::kOpen);
  fixture.WaitFor(Millis(1500));
  REQUIRE(fixture.ReadyStatus() == 200);
  // The other instance is no longer needed.
  fixture.KillFirst();
  for (const char* path : {"/once/x", "/read/x", "/stream/x", "/resume/x"}) {
    REQUIRE(fixture.SendRequest(path).status == 200);
  }
}

// Guards against: a request that nobody can serve waits, or goes back and forth
// between instances.
TEST_CASE("a request that no instance can serve is refused at once", "[path]") {
  LostPathFixture fixture;
  fixture.CutAll();
  fixture.SetLinks(LinkState::kRefused);
  fixture.SendDuring(kNoticeTime);
  REQUIRE(fixture.ReadyStatus() == 200);
  for (const char* path : {"/once/x", "/read/x", "/stream/x", "/resume/x"}) {
    CAPTURE(path);
    const Millis sent_at = EventLoop::Now();
    CallOutcome outcome = fixture.SendRequest(path);
    REQUIRE(outcome.status == 503);
    REQUIRE(outcome.body.find("\"not_run\":\"true\"") != std::string::npos);
    REQUIRE(!outcome.headers.Get("Retry-After").empty());
    REQUIRE(EventLoop::Now() - sent_at < Millis(500));
  }
}

// Guards against: a relayed stream reaches the caller only when it is whole, or
// goes on after the caller has left.
TEST_CASE("a relayed stream is passed on as it comes", "[path]") {
  LostPathFixture fixture;
  fixture.SetLinks(LinkState::kRefused);
  fixture.SendDuring(kNoticeTime);
  fixture.HoldStreams();
  std::string received;
  HttpCall call = fixture.CallTo("/stream/x", "k1");
  call.on_data = [&](std::string_view bytes) {
    received += bytes;
    return true;
  };
  const CallId id = fixture.control()->Start(std::move(call));
  fixture.WaitUntil([&] { return received == "id: 1\ndata: a\n\n"; });
  const int closed = fixture.closed_connections();
  fixture.control()->Cancel(id);
  fixture.WaitUntil([&] { return fixture.closed_connections() > closed; });
}

// Guards against: the rate of a workspace is charged at both instances.
TEST_CASE("a relayed request is charged once", "[path]") {
  LostPathFixture fixture;
  fixture.store.Put("op/config", R"({"version":2,"routes":[
      {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent",
        "timeoutMs":2000,"goalMs":300,"attempts":1,"service":"s"}],
      "services":[{"name":"s"}],
      "tenants":[{"name":"w","apiKeys":["k1"],"ratePerS":10,"burst":40}]})");
  fixture.SetLinks(LinkState::kRefused);
  fixture.SendDuring(kNoticeTime);
  fixture.WaitFor(Millis(5000));  // Until the burst is there again.
  int served = 0;
  int rejected = 0;
  for (int i = 0; i < 60; ++i) {
    HttpCall call = fixture.CallTo("/once/x", "k1");
    call.on_done = [&](const CallOutcome& outcome) {
      served += outcome.status == 200 ? 1 : 0;
      rejected += outcome.status == 429 ? 1 : 0;
    };
    fixture.control()->Start(std::move(call));
  }
  fixture.WaitUntil([&] { return served + rejected == 60; });
  CAPTURE(served, rejected);
  // Charged twice, 20 would have been served.
  REQUIRE(served > 28);
  REQUIRE(rejected > 0);
}

// Guards against: a pause of an upstream is taken for a lost path.
TEST_CASE("an upstream that falls silent for a second loses no path",
          "[path]") {
  LostPathFixture fixture;
  fixture.HoldStreams();
  HttpCall call = fixture.CallTo("/stream/x", "k1");
  fixture.control()->Start(std::move(call));
  fixture.WaitUntil([&] { return fixture.held_streams() == 1; });
  Millis end = EventLoop::Now() + Millis(1500);
  while (EventLoop::Now() < end) {
    REQUIRE(fixture.ReadyStatus() == 200);
    fixture.WaitFor(Millis(50));
  }
}

namespace {

// One request's handler, whose answers of other instances a test holds back.
class HandlerFixture : public Fixture {
 public:
  HandlerFixture()
      : client_(&loop), state_(InstanceSettings(), RegistryHooks()) {
    std::string error;
    state_.config = std::make_shared<const ActiveConfig>(
        *platform::DecodeConfig(R"({"version":1,"routes":[
          {"name":"once","host":"h","prefix":"/once/",
            "kind":"non_idempotent","timeoutMs":2000,"goalMs":300,
            "attempts":1,"service":"s"}],
          "services":[{"name":"s"}],
          "tenants":[{"name":"w","apiKeys":["k1"],"ratePerS":9,
            "burst":9}]})",
                                &error));
    state_.freshness.OnConfirmed(EventLoop::Now());
    UpstreamEntry entry;
    entry.id = UpstreamId("u");
    entry.service = ServiceId("s");
    entry.address = first.address();
    state_.upstreams.OnRecord({entry.id, entry}, EventLoop::Now(), Millis(0));
    SetHooks();
  }

  void Start() {
    ServingRequest request;
    request.id = RequestId("r1");
    request.method = "POST";
    request.host = "h";
    request.path = request.target = "/once/x";
    request.api_key = "k1";
    request.body = "body";
    request.headers.Add("Request-Id", "r1");
    request.headers.Add("Host", "h");
    handler_ = std::make_shared<RequestHandler>(
        &deps_, std::move(request), std::make_shared<NoResponder>(), 1,
        EventLoop::Now(), std::nullopt);
    handler_->Start();
  }
  void LosePath() {
    is_lost_ = true;
    handler_->OnPathLost();
  }
  bool waits_for_rate() const { return rate_answer_ != nullptr; }
  void AnswerRate(bool granted) {
    RateDecision decision;
    decision.granted = granted;
    decision.wait = Millis(5000);
    std::exchange(rate_answer_, nullptr)(decision);
  }
  int relayed() const { return static_cast<int>(second.requests().size()); }
  int sent() const { return static_cast<int>(first.requests().size()); }

 private:
  class NoResponder : public Responder {
   public:
    void Send(HttpResponse) override {}
    void StartStream(int, const HttpHeaders&) override {}
    void Write(std::string) override {}
    size_t unwritten_bytes() const override { return 0; }
    void OnceWritten(std::function<void()>) override {}
    void EndStream() override {}
    void AbortStream() override {}
  };

  static UpstreamRegistry::Hooks RegistryHooks() {
    UpstreamRegistry::Hooks hooks;
    hooks.on_local_load_changed = [](const UpstreamId&) {};
    return hooks;
  }

  void SetHooks() {
    deps_.loop = &loop;
    deps_.client = &client_;
    deps_.codec = &codec_;
    deps_.state = &state_;
    RequestHooks& hooks = deps_.hooks;
    hooks.request_ended = [](uint64_t) {};
    hooks.path_is_lost = [this] { return is_lost_; };
    hooks.choose_relay = [this](uint64_t, const std::set<MachineId>&) {
      ClusterMember member;
      member.machine = MachineId("m2");
      member.address = second.address();
      return std::optional(member);
    };
    hooks.upstream_reached = [] {};
    hooks.upstream_unreached = [](const UpstreamId&) {};
    hooks.upstream_unreachable = [](const UpstreamId&) {};
    hooks.brittleness_changed = [](const UpstreamId&, std::optional<double>) {};
    hooks.capacity_sampled = [](const UpstreamId&) {};
    hooks.attempt_started = [] {};
    hooks.attempt_ended = [] {};
    hooks.bytes_received = [] {};
    hooks.connection_broken = [](uint64_t, const UpstreamId&, int64_t) {};
    hooks.broken_before_response = [](const PartCrash&) {};
    hooks.acquire_rate_tokens = [this](const WorkspaceId&, double,
                                       std::function<void(RateDecision)> done) {
      rate_answer_ = std::move(done);
    };
  }

  EventLoopHttpClient client_;
  platform::RequestCodec codec_;
  ServingState state_;
  RequestDeps deps_;
  bool is_lost_ = false;
  std::function<void(RateDecision)> rate_answer_;
  std::shared_ptr<RequestHandler> handler_;
};

}  // namespace

// Guards against: a request that waits for its rate is relayed when the path is
// lost, and sent as well, or rejected, when the answer comes.
TEST_CASE("a request is relayed or sent and not both", "[path]") {
  HandlerFixture fixture;
  fixture.Start();
  REQUIRE(fixture.waits_for_rate());
  fixture.LosePath();
  fixture.WaitFor(Millis(100));
  const bool granted = GENERATE(true, false);
  CAPTURE(granted);
  const int relayed_before = fixture.relayed();
  fixture.AnswerRate(granted);
  fixture.WaitFor(Millis(100));
  REQUIRE(fixture.sent() == 0);
  // Not before its rate is known, as the other instance would charge it too.
  REQUIRE(relayed_before == 0);
  REQUIRE(fixture.relayed() == (granted ? 1 : 0));
}

}  // namespace bilberrypitch
