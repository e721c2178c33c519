// Requests under failure, through separate processes.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

using Clock = std::chrono::steady_clock;

std::future<CallOutcome> InferLater(SmallDeployment* it,
                                    const std::string& instance,
                                    const std::string& path,
                                    const std::string& adapter, int tokens,
                                    int deadline_ms = 6000) {
  return std::async(std::launch::async, [=] {
    return it->Infer(instance, path, adapter, tokens, deadline_ms);
  });
}

bool UntilRunning(SmallDeployment* it, int64_t n) {
  return ProcessGroup::WaitFor(10000,
                               [&] { return it->SumOfFacts("running") == n; });
}

}  // namespace

TEST_CASE("a booking runs at most once", "[request]") {
  SmallOptions options;
  options.relay_service = true;
  SmallDeployment it(options);
  REQUIRE(it.Send("entry-1", "/once/book", "before").status == 200);

  SECTION("the answer is lost: nothing is promised and nothing repeated") {
    it.SetRelay("booking", "lose_answers");
    // Also on a kept connection, where libcurl would send again by itself.
    for (const std::string& at : it.instances()) {
      CallOutcome outcome = it.Send(at, "/once/book", "lost at " + at);
      REQUIRE(outcome.status == 502);
      REQUIRE(it.Runs("booking", "lost at " + at) == 1);
    }
  }
  SECTION("no connection: not run is true, and it can come again") {
    it.processes().Kill("relay-booking");
    CallOutcome refused = it.Send("entry-1", "/once/book", "refused", 1500);
    REQUIRE(refused.status == 503);
    REQUIRE(it.Runs("booking", "refused") == 0);
    it.processes().Restart("relay-booking");
    REQUIRE(ProcessGroup::WaitFor(10000, [&] {
      return it.Send("entry-2", "/once/book", "refused").status == 200;
    }));
    REQUIRE(it.Runs("booking", "refused") == 1);
  }
  SECTION("connections go silent: no answer promises that nothing ran") {
    it.SetRelay("booking", "cut");
    CallOutcome silent = it.Send("entry-1", "/once/book", "silent", 1500);
    REQUIRE(silent.status != 200);
    REQUIRE(silent.status != 503);
    REQUIRE(silent.status != 429);
    it.SetRelay("booking", "pass");
    REQUIRE(it.Runs("booking", "silent") <= 1);
  }
  SECTION("the store is out: bookings go on while the key is known") {
    it.SetFaults("store", {{"silent", true}});
    REQUIRE(it.Send("entry-1", "/once/book", "out").status == 200);
    REQUIRE(it.Runs("booking", "out") == 1);
  }
  REQUIRE(it.SumOfFacts("runs_twice") == 0);
}

TEST_CASE("an adapter is not evicted while it serves", "[request]") {
  SmallOptions options;
  options.engine.adapter_slots = 1;
  options.engine.step_ms = 10;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  auto stream = InferLater(&it, "entry-1", "/stream/x", "coach1", 350, 8000);
  REQUIRE(UntilRunning(&it, 1));
  bool frozen = false;
  SECTION("while others want its place") {}
  SECTION("while its instance is frozen") {
    it.processes().Freeze("entry-1");
    frozen = true;
  }
  SECTION("while another instance is killed") {
    it.processes().Kill("entry-2");
  }
  SECTION("while the store is out") {
    it.SetFaults("store", {{"silent", true}});
  }
  // Two engines with one place each: five others want them.
  std::vector<std::future<CallOutcome>> others;
  for (int i = 2; i < 7; ++i) {
    others.push_back(InferLater(&it, "entry-3", "/ask/x",
                                fmt::format("coach{}", i), 2, 15000));
  }
  if (frozen) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    it.processes().Thaw("entry-1");
  }
  CallOutcome whole = stream.get();
  REQUIRE(IsWhole(whole));
  REQUIRE(whole.body.find("data: t350\n") != std::string::npos);
  for (auto& other : others) {
    other.get();
  }
  REQUIRE(it.SumOfFacts("unloads_in_use") == 0);
  // The others got the places in the end.
  REQUIRE(it.SumOfFacts("unloads") > 0);
}

TEST_CASE("a wrong, crossed or truncated answer is never passed on",
          "[request]") {
  SmallOptions options;
  options.engines = 1;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  SECTION("crossed") {
    it.SetFaults("engine-1", {{"wrong_id", true}});
    CallOutcome stream = it.Infer("entry-1", "/stream/x", "coach1", 5);
    REQUIRE_FALSE(IsWhole(stream));
    REQUIRE(stream.body.find("data: t1") == std::string::npos);
    REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 5).status == 502);
  }
  SECTION("truncated") {
    it.SetFaults("engine-1", {{"truncate", true}});
    CallOutcome stream = it.Infer("entry-1", "/stream/x", "coach1", 5);
    REQUIRE_FALSE(IsWhole(stream));
    REQUIRE(stream.body.find("data: t5") == std::string::npos);
  }
  it.SetFaults("engine-1", json::object());
  REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 5).status == 200);
}

TEST_CASE("a resumable stream goes on at another engine", "[request]") {
  SmallOptions options;
  options.engines = 2;
  options.engine.step_ms = 20;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  auto stream = InferLater(&it, "entry-1", "/resume/x", "coach1", 100, 8000);
  REQUIRE(UntilRunning(&it, 1));
  std::string runs_it =
      IntOr(it.Facts("engine-1"), "running", 0) == 1 ? "engine-1" : "engine-2";
  it.processes().Kill(runs_it);
  CallOutcome whole = stream.get();
  REQUIRE(IsWhole(whole));
  std::string expected;
  for (int i = 1; i <= 100; ++i) {
    expected += fmt::format("id: {0}\ndata: t{0}\n\n", i);
  }
  REQUIRE(whole.body == expected);
}

TEST_CASE("an engine's run is cancelled when its caller is gone", "[request]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  HttpCall call;
  call.method = "POST";
  call.address = it.Address("entry-1");
  call.target = "/stream/x";
  call.headers.Add("Host", Deployment::kHost);
  call.headers.Add("Request-Id", "gone");
  call.headers.Add("Authorization",
                   std::string("Token ") + SmallDeployment::kKey);
  call.headers.Add("Model", "base/coach1");
  call.headers.Add("Tokens", "1,5000");
  call.headers.Add("Deadline-Ms", "60000");
  call.on_data = [](std::string_view) { return false; };  // Hangs up.
  it.client()->Run(call);
  REQUIRE(ProcessGroup::WaitFor(
      5000, [&] { return it.SumOfFacts("cancelled") == 1; }));
  REQUIRE(it.SumOfFacts("running") == 0);
}

TEST_CASE("connections that go silent are found and the work is moved",
          "[request]") {
  SmallOptions options;
  options.engine.relayed = true;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  for (int i = 0; i < 4; ++i) {
    it.Infer("entry-1", "/ask/x", "coach1", 2);
  }
  auto silence = [&] {
    it.SetRelay("engine-1", "silence_open");
    it.SetRelay("engine-2", "silence_open");
  };
  SECTION("whole requests on kept connections are answered by a retry") {
    silence();
    std::vector<std::future<CallOutcome>> all;
    all.reserve(6);
    for (int i = 0; i < 6; ++i) {
      all.push_back(InferLater(&it, "entry-1", "/ask/x", "coach1", 3));
    }
    for (auto& one : all) {
      REQUIRE(one.get().status == 200);
    }
    // No upstream is marked down for it.
    REQUIRE(it.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
  }
  SECTION("a stream in progress doesn't look complete") {
    auto stream = InferLater(&it, "entry-1", "/stream/x", "coach1", 2000, 4000);
    REQUIRE(UntilRunning(&it, 1));
    auto begun = Clock::now();
    silence();
    REQUIRE_FALSE(IsWhole(stream.get()));
    REQUIRE(Clock::now() - begun < std::chrono::milliseconds(4000 + 500));
  }
}

TEST_CASE("a poison request crashes a bounded number of engines", "[request]") {
  SmallOptions options;
  options.engines = 4;
  SmallDeployment it(options);
  auto arm = [&](const std::string& name) {
    it.SetFaults(name, {{"crash_on", "venom"}});
  };
  for (int i = 1; i <= 4; ++i) {
    arm(fmt::format("engine-{}", i));
  }
  REQUIRE(it.Warm("entry-1", "coach1"));
  int crashes = 0;
  auto revive = [&] {
    for (int i = 1; i <= 4; ++i) {
      std::string name = fmt::format("engine-{}", i);
      if (it.processes().Alive(name)) {
        continue;
      }
      ++crashes;
      it.processes().Restart(name);
      ProcessGroup::WaitFor(5000, [&] {
        return it.Call(name, "GET", "/lab/facts", "").status == 200;
      });
      arm(name);
    }
  };
  auto poison = [&](const std::string& at) {
    Asked asked;
    asked.key = SmallDeployment::kKey;
    asked.body = "venom";
    asked.adapter = "coach1";
    asked.deadline_ms = 3000;
    return it.Ask(at, asked).status;
  };
  // The caller sends it again and again, to each instance in turn.
  int innocents = 0;
  for (int round = 0; round < 9; ++round) {
    const std::string& at = it.instances()[static_cast<size_t>(round) % 3];
    auto bad = std::async(std::launch::async, [&] { return poison(at); });
    Asked innocent;
    innocent.key = SmallDeployment::kKey;
    innocent.body = fmt::format("innocent {}", round);
    innocent.adapter = "coach1";
    innocent.tokens = 20;
    innocent.deadline_ms = 20000;
    auto good = std::async(std::launch::async,
                           [&, innocent] { return it.Ask(at, innocent); });
    for (std::future_status status = std::future_status::timeout;
         status != std::future_status::ready;
         status = good.wait_for(std::chrono::milliseconds(100))) {
      revive();
    }
    REQUIRE(bad.get() != 200);
    innocents += good.get().status == 200;
    revive();
  }
  // Two through the first instance, one more through each of two others.
  REQUIRE(crashes <= 4);
  REQUIRE(crashes >= 1);
  REQUIRE(innocents == 9);
  // Refused without being sent.
  REQUIRE(poison("entry-2") != 200);
  revive();
  REQUIRE(crashes <= 4);
}

TEST_CASE("a leaving engine gets nothing new after two seconds", "[request]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  std::string engine = IntOr(it.Facts("engine-1"), "completions", 0) > 0
                           ? "engine-1"
                           : "engine-2";
  auto stream = InferLater(&it, "entry-1", "/stream/x", "coach1", 900, 9000);
  REQUIRE(UntilRunning(&it, 1));
  // Its process goes on; only its entry says that it leaves.
  it.SetFaults(engine, {{"drain", true}});
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  auto taken = [&] {
    json::object facts = it.Facts(engine);
    return IntOr(facts, "completions", 0) + IntOr(facts, "running", 0) +
           IntOr(facts, "waiting", 0);
  };
  int64_t before = taken();
  for (int i = 0; i < 10; ++i) {
    it.Infer("entry-1", "/ask/x", fmt::format("coach{}", i), 1);
  }
  REQUIRE(taken() <= before);
  REQUIRE(IsWhole(stream.get()));
}

}  // namespace bilberrypitch::lab
