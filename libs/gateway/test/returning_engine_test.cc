// Tests of engines whose entries are removed and return.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "base/json.h"
#include "engine_config.h"
#include "gateway_fixture.h"

namespace bilberrypitch {
namespace {

// An engine that loads each adapter at once.
class LoadingEngine {
 public:
  void Handle(const HttpRequest& request, Responder* responder) {
    HttpResponse response = FakeUpstream::OkResponse(request);
    if (request.path == "/report") {
      response.body = Report();
    } else if (request.path == "/order") {
      ++orders_;
      ++accepted_;
      response.status = 202;
      json::object order = json::parse(request.body).as_object();
      if (order.contains("adapter")) {
        adapters_.insert(std::string(order["adapter"].as_string()));
      }
    } else if (adapters_.count(AdapterOf(request)) == 0) {
      response.status = 421;
    }
    responder->Send(std::move(response));
  }

  // A process that has just started holds nothing of before.
  void Restart() {
    adapters_.clear();
    accepted_ = 0;
  }

  std::string Entry(const std::string& address, int started_ms) const {
    return fmt::format(R"({{"service":"llm","addr":"{}","zone":"z",
      "capacity":8,"state":"ready","born":{},"models":{}}})",
                       address, started_ms, Models());
  }
  int orders() const { return orders_; }

 private:
  static std::string AdapterOf(const HttpRequest& request) {
    std::string model(request.headers.Get("Model"));
    return model.substr(model.find('/') + 1);
  }
  std::string Models() const {
    std::string names;
    for (const std::string& name : adapters_) {
      names += (names.empty() ? "\"" : ",\"") + name + "@1\"";
    }
    return R"([{"name":"m","version":1,"adapters":[)" + names + "]}]";
  }
  std::string Report() const {
    return fmt::format(R"({{"phase":"mixed","models":{},"busy":false,
      "seq":{},"queued":0,"active":0,"pending":[]}})",
                       Models(), accepted_);
  }

  std::set<std::string> adapters_;
  int orders_ = 0;    // Ever received.
  int accepted_ = 0;  // Since the start.
};

// Longer than an owner waits before it acts.
constexpr Millis kServedWithin{12 * 1000};
// Between two requests; one is rejected at once while the process has just been
// held up and its keys are too old.
constexpr Millis kPause{50};

bool IsServed(Fixture* fixture, const std::string& adapter) {
  Millis end = EventLoop::Now() + kServedWithin;
  while (EventLoop::Now() < end) {
    HttpCall call = fixture->CallTo("/ask/x", "k1");
    call.headers.Add("Model", "m/" + adapter);
    call.headers.Add("Tokens", "10,5");
    if (fixture->Send(std::move(call)).status == 200) {
      return true;
    }
    fixture->WaitFor(kPause);
  }
  return false;
}

}  // namespace

// Guards against: the owner of an engine whose entry was away sends it no more
// orders, so that adapters that it doesn't hold are never served.
TEST_CASE("an engine whose entry returns under its id gets orders again",
          "[returning]") {
  const bool restarted = GENERATE(false, true);
  const bool other_address = GENERATE(false, true);
  CAPTURE(restarted, other_address);
  Fixture fixture;
  LoadingEngine engine;
  auto handler = [&](const HttpRequest& request, Responder* responder) {
    engine.Handle(request, responder);
  };
  fixture.first.SetHandler(handler);
  fixture.second.SetHandler(handler);
  fixture.store.Put("op/config", kEngineConfig);
  fixture.store.Put("servers/e-1", engine.Entry(fixture.first.address(), 5));
  fixture.WaitUntilReady();
  REQUIRE(IsServed(&fixture, "a1"));
  REQUIRE(engine.orders() == 1);
  fixture.store.Remove("servers/e-1");
  fixture.WaitFor(Millis(300));
  if (restarted) {
    engine.Restart();
  }
  fixture.store.Put("servers/e-1",
                    engine.Entry(other_address ? fixture.second.address()
                                               : fixture.first.address(),
                                 restarted ? 6 : 5));
  REQUIRE(IsServed(&fixture, "a2"));
  REQUIRE(engine.orders() == 2);
}

}  // namespace bilberrypitch
