// Tests of an instance that has callers, a store and peers, but no path to the
// upstreams.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cut_link.h"

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
    to->Write("id: 2\ndata: b\n\n");
    to->EndStream();
  }

  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<CutLink>> links_;
  std::unique_ptr<ReaddressingStore> access_;
  std::map<std::string, int> runs_;
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

}  // namespace bilberrypitch
