// Tests requests under failure, with separate processes.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

using Clock = std::chrono::steady_clock;

std::future<CallOutcome> InferAsync(SmallDeployment* deployment,
                                    const std::string& instance,
                                    const std::string& path,
                                    const std::string& adapter, int tokens,
                                    int timeout_ms = 6000) {
  return std::async(std::launch::async, [=] {
    return deployment->Infer(instance, path, adapter, tokens, timeout_ms);
  });
}

bool WaitUntilRunning(SmallDeployment* deployment, int64_t request_count) {
  return ProcessGroup::WaitUntil(10000, [&] {
    return deployment->SumCounters("running") == request_count;
  });
}

}  // namespace

TEST_CASE("a non-idempotent request runs at most once", "[request]") {
  SmallDeploymentOptions options;
  options.relay_plain_service = true;
  SmallDeployment deployment(options);
  REQUIRE(deployment.SendWithKey("entry-1", "/once/book", "before").status ==
          200);

  SECTION("lost response: neither reported as not run nor retried") {
    deployment.SetRelayMode("booking", "lose_answers");
    // Also on a pooled connection, where libcurl would retry by itself.
    for (const std::string& instance_name : deployment.instances()) {
      CallOutcome outcome = deployment.SendWithKey(instance_name, "/once/book",
                                                   "lost at " + instance_name);
      REQUIRE(outcome.status == 502);
      REQUIRE(deployment.RunCount("booking", "lost at " + instance_name) == 1);
    }
  }
  SECTION("no connection: reported as not run, and can be retried") {
    deployment.processes().Kill("relay-booking");
    CallOutcome rejected =
        deployment.SendWithKey("entry-1", "/once/book", "refused", 1500);
    REQUIRE(rejected.status == 503);
    REQUIRE(deployment.RunCount("booking", "refused") == 0);
    deployment.processes().Restart("relay-booking");
    REQUIRE(ProcessGroup::WaitUntil(10000, [&] {
      return deployment.SendWithKey("entry-2", "/once/book", "refused")
                 .status == 200;
    }));
    REQUIRE(deployment.RunCount("booking", "refused") == 1);
  }
  SECTION("stalled connections: no response reports it as not run") {
    deployment.SetRelayMode("booking", "cut");
    CallOutcome stalled =
        deployment.SendWithKey("entry-1", "/once/book", "silent", 1500);
    REQUIRE(stalled.status != 200);
    REQUIRE(stalled.status != 503);
    REQUIRE(stalled.status != 429);
    deployment.SetRelayMode("booking", "pass");
    REQUIRE(deployment.RunCount("booking", "silent") <= 1);
  }
  SECTION("the store is unavailable: requests run while the key is known") {
    deployment.SetFaults("store", {{"silent", true}});
    REQUIRE(deployment.SendWithKey("entry-1", "/once/book", "out").status ==
            200);
    REQUIRE(deployment.RunCount("booking", "out") == 1);
  }
  REQUIRE(deployment.SumCounters("runs_twice") == 0);
}

TEST_CASE("an adapter is not evicted while it serves a request", "[request]") {
  SmallDeploymentOptions options;
  options.engine_options.adapter_slots = 1;
  options.engine_options.step_ms = 10;
  SmallDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  auto stream =
      InferAsync(&deployment, "entry-1", "/stream/x", "coach1", 350, 8000);
  REQUIRE(WaitUntilRunning(&deployment, 1));
  bool suspended = false;
  SECTION("while other adapters need its slot") {}
  SECTION("while its instance is suspended") {
    deployment.processes().Suspend("entry-1");
    suspended = true;
  }
  SECTION("while another instance is killed") {
    deployment.processes().Kill("entry-2");
  }
  SECTION("while the store is unavailable") {
    deployment.SetFaults("store", {{"silent", true}});
  }
  // Two engines with one slot each: five other adapters need them.
  std::vector<std::future<CallOutcome>> others;
  for (int i = 2; i < 7; ++i) {
    others.push_back(InferAsync(&deployment, "entry-3", "/ask/x",
                                fmt::format("coach{}", i), 2, 15000));
  }
  if (suspended) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    deployment.processes().Resume("entry-1");
  }
  CallOutcome response = stream.get();
  REQUIRE(IsComplete(response));
  REQUIRE(response.body.find("data: t350\n") != std::string::npos);
  for (auto& other : others) {
    other.get();
  }
  REQUIRE(deployment.SumCounters("unloads_in_use") == 0);
  // The other adapters got the slots eventually.
  REQUIRE(deployment.SumCounters("unloads") > 0);
}

TEST_CASE("a response to another request or a truncated one is not forwarded",
          "[request]") {
  SmallDeploymentOptions options;
  options.engines = 1;
  SmallDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  SECTION("crossed") {
    // The engine's response has the id of another request.
    deployment.SetFaults("engine-1", {{"wrong_id", true}});
    CallOutcome stream = deployment.Infer("entry-1", "/stream/x", "coach1", 5);
    REQUIRE_FALSE(IsComplete(stream));
    REQUIRE(stream.body.find("data: t1") == std::string::npos);
    REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 5).status == 502);
  }
  SECTION("truncated") {
    deployment.SetFaults("engine-1", {{"truncate", true}});
    CallOutcome stream = deployment.Infer("entry-1", "/stream/x", "coach1", 5);
    REQUIRE_FALSE(IsComplete(stream));
    REQUIRE(stream.body.find("data: t5") == std::string::npos);
  }
  deployment.SetFaults("engine-1", json::object());
  REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 5).status == 200);
}

TEST_CASE("a resumable stream continues on another engine", "[request]") {
  SmallDeploymentOptions options;
  options.engines = 2;
  options.engine_options.step_ms = 20;
  SmallDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  auto stream =
      InferAsync(&deployment, "entry-1", "/resume/x", "coach1", 100, 8000);
  REQUIRE(WaitUntilRunning(&deployment, 1));
  std::string serving_engine =
      IntOr(deployment.GetStats("engine-1"), "running", 0) == 1 ? "engine-1"
                                                                : "engine-2";
  deployment.processes().Kill(serving_engine);
  CallOutcome response = stream.get();
  REQUIRE(IsComplete(response));
  std::string expected;
  for (int i = 1; i <= 100; ++i) {
    expected += fmt::format("id: {0}\ndata: t{0}\n\n", i);
  }
  REQUIRE(response.body == expected);
}

TEST_CASE("an engine's run is cancelled when its caller is gone", "[request]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  HttpCall call;
  call.method = "POST";
  call.address = deployment.Address("entry-1");
  call.target = "/stream/x";
  call.headers.Add("Host", Deployment::kHost);
  call.headers.Add("Request-Id", "gone");
  call.headers.Add("Authorization",
                   std::string("Token ") + SmallDeployment::kKey);
  call.headers.Add("Model", "base/coach1");
  call.headers.Add("Tokens", "1,5000");
  call.headers.Add("Deadline-Ms", "60000");
  call.on_data = [](std::string_view) { return false; };  // Cancels the call.
  deployment.client()->Run(call);
  REQUIRE(ProcessGroup::WaitUntil(
      5000, [&] { return deployment.SumCounters("cancelled") == 1; }));
  REQUIRE(deployment.SumCounters("running") == 0);
}

TEST_CASE("stalled connections are detected and requests are retried",
          "[request]") {
  SmallDeploymentOptions options;
  options.engine_options.use_relay = true;
  SmallDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  for (int i = 0; i < 4; ++i) {
    deployment.Infer("entry-1", "/ask/x", "coach1", 2);
  }
  auto stall_connections = [&] {
    deployment.SetRelayMode("engine-1", "silence_open");
    deployment.SetRelayMode("engine-2", "silence_open");
  };
  SECTION("unary requests on pooled connections succeed by a retry") {
    stall_connections();
    std::vector<std::future<CallOutcome>> outcomes;
    outcomes.reserve(6);
    for (int i = 0; i < 6; ++i) {
      outcomes.push_back(
          InferAsync(&deployment, "entry-1", "/ask/x", "coach1", 3));
    }
    for (auto& outcome : outcomes) {
      REQUIRE(outcome.get().status == 200);
    }
    // No upstream is marked down because of the stalled connections.
    REQUIRE(deployment.Infer("entry-1", "/ask/x", "coach1", 3).status == 200);
  }
  SECTION("a stream in progress does not look complete") {
    auto stream =
        InferAsync(&deployment, "entry-1", "/stream/x", "coach1", 2000, 4000);
    REQUIRE(WaitUntilRunning(&deployment, 1));
    auto started_at = Clock::now();
    stall_connections();
    REQUIRE_FALSE(IsComplete(stream.get()));
    REQUIRE(Clock::now() - started_at < std::chrono::milliseconds(4000 + 500));
  }
}

TEST_CASE("a poison request crashes a bounded number of engines", "[request]") {
  SmallDeploymentOptions options;
  options.engines = 4;
  SmallDeployment deployment(options);
  auto enable_crash = [&](const std::string& name) {
    deployment.SetFaults(name, {{"crash_on", "venom"}});
  };
  for (int i = 1; i <= 4; ++i) {
    enable_crash(fmt::format("engine-{}", i));
  }
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  int crashes = 0;
  auto restart_crashed = [&] {
    for (int i = 1; i <= 4; ++i) {
      std::string name = fmt::format("engine-{}", i);
      if (deployment.processes().IsRunning(name)) {
        continue;
      }
      ++crashes;
      deployment.processes().Restart(name);
      ProcessGroup::WaitUntil(5000, [&] {
        return deployment.Call(name, "GET", "/lab/facts", "").status == 200;
      });
      enable_crash(name);
    }
  };
  auto send_poison = [&](const std::string& instance_name) {
    CallerRequest request;
    request.key = SmallDeployment::kKey;
    request.body = "venom";
    request.adapter = "coach1";
    request.timeout_ms = 3000;
    return deployment.SendRequest(instance_name, request).status;
  };
  // The caller keeps retrying the request, on each instance in turn.
  int healthy_responses = 0;
  for (int round = 0; round < 9; ++round) {
    const std::string& instance_name =
        deployment.instances()[static_cast<size_t>(round) % 3];
    auto poison_status = std::async(std::launch::async,
                                    [&] { return send_poison(instance_name); });
    CallerRequest healthy_request;
    healthy_request.key = SmallDeployment::kKey;
    healthy_request.body = fmt::format("healthy {}", round);
    healthy_request.adapter = "coach1";
    healthy_request.tokens = 20;
    healthy_request.timeout_ms = 20000;
    auto healthy_outcome = std::async(std::launch::async, [&, healthy_request] {
      return deployment.SendRequest(instance_name, healthy_request);
    });
    for (std::future_status status = std::future_status::timeout;
         status != std::future_status::ready;
         status = healthy_outcome.wait_for(std::chrono::milliseconds(100))) {
      restart_crashed();
    }
    REQUIRE(poison_status.get() != 200);
    healthy_responses += healthy_outcome.get().status == 200;
    restart_crashed();
  }
  // Two crashes through the first instance, one more through each of the two
  // others.
  REQUIRE(crashes <= 4);
  REQUIRE(crashes >= 1);
  REQUIRE(healthy_responses == 9);
  // The request is now rejected without an attempt.
  REQUIRE(send_poison("entry-2") != 200);
  restart_crashed();
  REQUIRE(crashes <= 4);
}

TEST_CASE("a draining engine gets no new requests after two seconds",
          "[request]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  std::string engine =
      IntOr(deployment.GetStats("engine-1"), "completions", 0) > 0 ? "engine-1"
                                                                   : "engine-2";
  auto stream =
      InferAsync(&deployment, "entry-1", "/stream/x", "coach1", 900, 9000);
  REQUIRE(WaitUntilRunning(&deployment, 1));
  // Its process keeps serving; only its entry in the store says that it drains.
  deployment.SetFaults(engine, {{"drain", true}});
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  auto count_accepted = [&] {
    json::object stats = deployment.GetStats(engine);
    return IntOr(stats, "completions", 0) + IntOr(stats, "running", 0) +
           IntOr(stats, "waiting", 0);
  };
  int64_t before = count_accepted();
  for (int i = 0; i < 10; ++i) {
    deployment.Infer("entry-1", "/ask/x", fmt::format("coach{}", i), 1);
  }
  REQUIRE(count_accepted() <= before);
  REQUIRE(IsComplete(stream.get()));
}

}  // namespace bilberrypitch::lab
