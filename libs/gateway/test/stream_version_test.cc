// Tests of streams that go on while upstreams of two software versions serve.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

constexpr int kEvents = 4;  // Of a whole stream.

// An upstream whose events name its version.
class VersionedUpstream {
 public:
  VersionedUpstream(Fixture* fixture, std::string id, std::string software)
      : fixture_(fixture),
        id_(std::move(id)),
        software_(std::move(software)),
        server_(&fixture->loop) {
    server_.SetHandler([this](const HttpRequest& request, Responder* to) {
      Answer(request, to);
    });
  }

  void Register(int started_ms = 2) {
    fixture_->PutUpstream(id_, server_.address(), "ready", started_ms,
                          software_);
  }
  void Leave() { fixture_->store.Remove("servers/" + id_); }
  // The next stream stops behind two events, until BreakHeld.
  void HoldNext() { holds_next_ = true; }
  bool holds() const { return held_ != nullptr; }
  void BreakHeld() { std::exchange(held_, nullptr)->AbortStream(); }
  // All streams break off: new ones behind two events, others at once.
  void SetFailing(bool failing) { failing_ = failing; }
  // Starts anew under its id, as another version that is not registered yet.
  void Replace(const std::string& software) { software_ = software; }

  int streams() const { return streams_; }
  std::string EventText(int number) const {
    return fmt::format("id: {}\ndata: {}\n\n", number, software_);
  }
  std::string Events(int from, int to) const {
    std::string text;
    for (int i = from; i <= to; ++i) {
      text += EventText(i);
    }
    return text;
  }

 private:
  void Answer(const HttpRequest& request, Responder* to) {
    ++streams_;
    const std::string after(request.headers.Get("Last-Event-Id"));
    const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    const bool stops = failing_ || holds_next_;
    to->StartStream(200, FakeUpstream::OkResponse(request).headers);
    to->Write(Events(first, stops ? 2 : kEvents));
    if (std::exchange(holds_next_, false)) {
      held_ = to;
    } else if (failing_) {
      to->AbortStream();
    } else {
      to->EndStream();
    }
  }

  Fixture* const fixture_;
  const std::string id_;
  std::string software_;
  bool holds_next_ = false;
  Responder* held_ = nullptr;
  bool failing_ = false;
  int streams_ = 0;
  FakeUpstream server_;
};

class VersionFixture : public Fixture {
 public:
  VersionFixture()
      : older(this, "i-old", "v1"),
        older_too(this, "i-old2", "v1"),
        newer(this, "i-new", "v2") {
    store.Remove("servers/i-1");
  }

  // Sends a stream that breaks off behind two events. Returns its id.
  std::string SendBrokenStream(VersionedUpstream* to) {
    to->SetFailing(true);
    HttpCall call = CallTo("/resume/x", "k1");
    std::string id(call.headers.Get("Request-Id"));
    CallOutcome outcome = Send(std::move(call));
    to->SetFailing(false);
    REQUIRE(outcome.result == CallResult::kConnectionBroken);
    REQUIRE(outcome.body == to->Events(1, 2));
    return id;
  }

  // A caller's try to go on with the stream that the request `id` began.
  CallOutcome TakeUp(const std::string& id, int after_event = 2) {
    HttpCall call = CallTo("/resume/x", "k1");
    call.headers.Add("Last-Event-Id", std::to_string(after_event));
    if (!id.empty()) {
      call.headers.Add("Resumes", id);
    }
    return Send(std::move(call));
  }

  // Waits until a stream begins; no upstream may break it.
  void WaitUntilServing() {
    WaitUntilReady();
    Millis end = EventLoop::Now() + Millis(5000);
    while (SendRequest("/resume/x").status != 200) {
      REQUIRE(EventLoop::Now() < end);
    }
  }

  VersionedUpstream older;
  VersionedUpstream older_too;
  VersionedUpstream newer;
};

void CheckGoesOn(const CallOutcome& outcome, const VersionedUpstream& at) {
  CAPTURE(outcome.status, outcome.body);
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.status == 200);
  REQUIRE(outcome.body == at.Events(3, kEvents));
}

// It is refused at once, and has not run.
void CheckRefused(const CallOutcome& outcome) {
  CAPTURE(outcome.status, outcome.body);
  REQUIRE(outcome.result == CallResult::kComplete);
  REQUIRE(outcome.status == 503);
  REQUIRE(outcome.body.find("\"not_run\":\"true\"") != std::string::npos);
}

}  // namespace

// Guards against: a stream that an upstream breaks off goes on, within the same
// answer, at one of another version.
TEST_CASE("an answer goes on only at the version that began it", "[version]") {
  VersionFixture fixture;
  fixture.older.Register();
  fixture.WaitUntilServing();
  const bool another_left = GENERATE(false, true);
  CAPTURE(another_left);
  fixture.older.HoldNext();
  std::optional<CallOutcome> outcome;
  HttpCall call = fixture.CallTo("/resume/x", "k1");
  call.on_done = [&](CallOutcome it) { outcome = std::move(it); };
  fixture.control()->Start(std::move(call));
  fixture.WaitUntil([&] { return fixture.older.holds(); });
  fixture.newer.Register();
  if (another_left) {
    fixture.older_too.Register();
  }
  fixture.WaitFor(Millis(200));
  fixture.older.Leave();
  fixture.WaitFor(Millis(200));
  fixture.older.BreakHeld();
  fixture.WaitUntil([&] { return outcome.has_value(); });
  CAPTURE(outcome->body);
  if (another_left) {
    REQUIRE(outcome->result == CallResult::kComplete);
    REQUIRE(outcome->body == fixture.older_too.Events(1, kEvents));
  } else {
    REQUIRE(outcome->result == CallResult::kConnectionBroken);
    REQUIRE(outcome->body == fixture.older.Events(1, 2));
  }
}

// Guards against: a caller's new try goes on with a stream of one version at
// another one.
TEST_CASE("a take-up goes on only at the version that began the stream",
          "[version]") {
  VersionFixture fixture;
  fixture.older.Register();
  fixture.WaitUntilServing();
  const std::string id = fixture.SendBrokenStream(&fixture.older);
  fixture.newer.Register();
  fixture.WaitFor(Millis(200));
  SECTION("while it serves") {
    for (int i = 0; i < 12; ++i) {
      CheckGoesOn(fixture.TakeUp(id), fixture.older);
    }
  }
  SECTION("after its last upstream has gone") {
    fixture.older.Leave();
    fixture.WaitFor(Millis(1500));
    CheckRefused(fixture.TakeUp(id));
  }
  SECTION("and is refused if the stream is not known") {
    CheckRefused(fixture.TakeUp("unknown"));
    CheckRefused(fixture.TakeUp(""));
  }
}

// Guards against: an instance that has forgotten everything takes the only
// version that it sees for the one that began a stream.
TEST_CASE("a take-up after a kill of all instances joins no two versions",
          "[version]") {
  VersionFixture fixture;
  fixture.older.Register();
  fixture.WaitUntilServing();
  const std::string id = fixture.SendBrokenStream(&fixture.older);
  fixture.newer.Register();
  fixture.WaitFor(Millis(300));
  fixture.older.Leave();
  fixture.WaitFor(Millis(300));
  fixture.gateway.reset();
  auto second = fixture.StartSecond(&fixture.store);
  fixture.WaitUntilServing();
  CheckRefused(fixture.TakeUp(id));
  CheckRefused(fixture.TakeUp("unknown"));
}

// Guards against: refusing what can go on.
TEST_CASE("a take-up goes on while one version has served", "[version]") {
  VersionFixture fixture;
  fixture.older.Register();
  fixture.WaitUntilServing();
  const std::string id = fixture.SendBrokenStream(&fixture.older);
  fixture.older_too.Register();
  const bool restarted = GENERATE(false, true);
  CAPTURE(restarted);
  std::unique_ptr<Gateway> second;
  if (restarted) {
    fixture.gateway.reset();
    second = fixture.StartSecond(&fixture.store);
    fixture.WaitUntilServing();
  }
  fixture.older.Leave();
  fixture.WaitFor(Millis(300));
  CheckGoesOn(fixture.TakeUp(id), fixture.older_too);
  CheckGoesOn(fixture.TakeUp("unknown"), fixture.older_too);
}

}  // namespace bilberrypitch
