// Tests keys, rate limits, configuration and membership under failure, with
// separate processes.
#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <future>
#include <thread>

#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

using Clock = std::chrono::steady_clock;

// Time limits in the boot files of the deployment.
constexpr int kRevokeMs = 5000;
constexpr int kApplyMs = 2000;
constexpr int kVersionMs = 5000;

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int InferStatus(SmallDeployment* deployment, const std::string& instance) {
  return deployment->Infer(instance, "/ask/x", "coach1", 1).status;
}

}  // namespace

TEST_CASE("a revoked key is rejected by every instance", "[fleet]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-2", "coach1"));
  deployment.config.workspaces[0].keys = {"k-another"};
  deployment.WriteNextConfig();
  SleepMs(kApplyMs);
  for (const std::string& name : deployment.instances()) {
    REQUIRE(InferStatus(&deployment, name) == 401);
  }
}

TEST_CASE("a suspended instance does not accept a key revoked meanwhile",
          "[fleet]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-2", "coach1"));
  deployment.processes().Suspend("entry-2");
  deployment.config.workspaces[0].keys = {"k-another"};
  deployment.WriteNextConfig();
  // Neither a peer nor the store can notify it of the change when it resumes.
  deployment.processes().Suspend("entry-1");
  deployment.processes().Suspend("entry-3");
  deployment.SetFaults("store", {{"silent", true}});
  SleepMs(kRevokeMs);
  int64_t completions = deployment.SumCounters("completions");
  // These requests wait in its socket and are the first that it reads.
  std::vector<std::future<CallOutcome>> outcomes;
  outcomes.reserve(10);
  for (int i = 0; i < 10; ++i) {
    outcomes.push_back(std::async(std::launch::async, [&] {
      return deployment.Infer("entry-2", "/ask/x", "coach1", 1, 2000);
    }));
  }
  SleepMs(300);
  deployment.processes().Resume("entry-2");
  for (auto& outcome : outcomes) {
    REQUIRE(outcome.get().status != 200);
  }
  REQUIRE(deployment.SumCounters("completions") == completions);
  deployment.processes().Resume("entry-1");
  deployment.processes().Resume("entry-3");
}

TEST_CASE("a damaged or older configuration leaves the current one in effect",
          "[fleet]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  SECTION("damaged") { deployment.WriteStoreItem("op/config", "\xff\xff{"); }
  SECTION("older") {
    deployment.config.version = 5;
    deployment.WriteConfig(deployment.config);
    SleepMs(kApplyMs);
    OperatorConfig older_config = deployment.config;
    older_config.version = 4;
    older_config.workspaces.clear();
    deployment.WriteConfig(older_config);
  }
  SECTION("malformed entries of upstreams") {
    deployment.WriteStoreItem("servers/i-strange",
                              R"({"service":7,"state":"ready"})");
    deployment.WriteStoreItem("servers/i-bytes", "\xff");
  }
  SleepMs(kApplyMs);
  REQUIRE(InferStatus(&deployment, "entry-1") == 200);
  REQUIRE(InferStatus(&deployment, "entry-3") == 200);
  // The next valid configuration is applied.
  deployment.config.version = 9;
  deployment.config.has_read_route = false;
  deployment.WriteConfig(deployment.config);
  REQUIRE(ProcessGroup::WaitUntil(kApplyMs, [&] {
    return deployment.SendWithKey("entry-2", "/read/x", "x").status == 404;
  }));
}

TEST_CASE("the store is unavailable to one or to all instances", "[fleet]") {
  SmallDeploymentOptions options;
  options.relay_store_connections = true;
  SmallDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  SECTION("to one: it receives changes from its peers") {
    deployment.SetRelayMode("store-entry-1", "cut");
    SleepMs(kRevokeMs + 2000);
    REQUIRE(InferStatus(&deployment, "entry-1") == 200);
    deployment.config.has_read_route = false;
    deployment.WriteNextConfig();
    REQUIRE(ProcessGroup::WaitUntil(kRevokeMs, [&] {
      return deployment.SendWithKey("entry-1", "/read/x", "x").status == 404;
    }));
  }
  SECTION("to all: public routes keep working, keys expire in time") {
    deployment.SetFaults("store", {{"silent", true}});
    REQUIRE(InferStatus(&deployment, "entry-1") == 200);
    SleepMs(kRevokeMs);
    for (const std::string& name : deployment.instances()) {
      REQUIRE(InferStatus(&deployment, name) == 503);
      CallerRequest public_request;
      public_request.path = "/hours/x";
      REQUIRE(deployment.SendRequest(name, public_request).status == 200);
    }
    deployment.SetFaults("store", json::object());
    REQUIRE(ProcessGroup::WaitUntil(
        kRevokeMs, [&] { return InferStatus(&deployment, "entry-1") == 200; }));
  }
  SECTION("its history is dropped: instances do a full read") {
    deployment.SetFaults("store", {{"drop_history", true}});
    deployment.config.has_read_route = false;
    deployment.WriteNextConfig();
    REQUIRE(ProcessGroup::WaitUntil(kApplyMs, [&] {
      return deployment.SendWithKey("entry-1", "/read/x", "x").status == 404;
    }));
  }
  SECTION("its responses to writes are lost: an instance still joins") {
    deployment.SetFaults("store", {{"lose_writes", 3}});
    deployment.StartInstance("entry-4", "b");
    deployment.WaitUntilReady("entry-4");
    REQUIRE(deployment.WaitUntilServed("entry-4", "coach2"));
  }
}

TEST_CASE("all instances together keep to rate and burst under failure",
          "[fleet]") {
  constexpr double kRate = 20;   // Requests per second.
  constexpr double kBurst = 40;  // Requests.
  // The tolerance in the boot files for any window of 8 s: a tenth and two
  // requests.
  constexpr double kExcessRatio = 0.1;
  constexpr double kExtraRequests = 2;
  SmallDeploymentOptions options;
  options.rate_per_s = kRate;
  options.burst = kBurst;
  SmallDeployment deployment(options);
  std::atomic<bool> stop = false;
  int64_t before = deployment.SumCounters("completions");
  auto started_at = Clock::now();
  std::atomic<int> succeeded_count = 0;
  std::vector<std::thread> callers;
  callers.reserve(12);
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const std::string& instance_name =
            deployment.instances()[static_cast<size_t>(i) % 3];
        bool succeeded =
            deployment.SendWithKey(instance_name, "/read/x", "x", 2000)
                .status == 200;
        succeeded_count += succeeded;
        SleepMs(succeeded ? 1 : 30);
      }
    });
  }
  SleepMs(3000);
  SECTION("no failure") {}
  SECTION("one instance is suspended and resumed") {
    deployment.processes().Suspend("entry-2");
    SleepMs(4000);
    deployment.processes().Resume("entry-2");
  }
  SECTION("one instance is killed and restarted") {
    deployment.processes().Kill("entry-2");
    SleepMs(1000);
    deployment.processes().Restart("entry-2");
  }
  SECTION("the store is unavailable") {
    deployment.SetFaults("store", {{"silent", true}});
  }
  SleepMs(3000);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  double seconds =
      std::chrono::duration<double>(Clock::now() - started_at).count();
  auto completed =
      static_cast<double>(deployment.SumCounters("completions") - before);
  REQUIRE(succeeded_count > kRate);
  // The limit applies to each window of 8 s, and so to the sum of the windows.
  double window_count = std::ceil(seconds / 8);
  REQUIRE(completed <=
          (kRate * seconds + kBurst * window_count) * (1 + kExcessRatio) +
              kExtraRequests * window_count);
}

TEST_CASE("adapters can be loaded after instances are stopped or killed",
          "[fleet]") {
  SmallDeployment deployment;
  for (int i = 0; i < 4; ++i) {
    REQUIRE(deployment.WaitUntilServed("entry-1", fmt::format("coach{}", i)));
  }
  SECTION("one instance stops") {
    REQUIRE(deployment.processes().Terminate("entry-1") == 0);
  }
  SECTION("one instance is killed") { deployment.processes().Kill("entry-1"); }
  SECTION("two instances are killed and restarted") {
    deployment.processes().Kill("entry-1");
    deployment.processes().Kill("entry-2");
    deployment.processes().Restart("entry-1");
    deployment.processes().Restart("entry-2");
  }
  SECTION("one instance stops and is restarted") {
    REQUIRE(deployment.processes().Terminate("entry-2") == 0);
    deployment.processes().Restart("entry-2");
  }
  // Only the owner of an engine can order it to load a new adapter.
  for (int i = 10; i < 14; ++i) {
    REQUIRE(deployment.WaitUntilServed("entry-3", fmt::format("coach{}", i)));
  }
  // No two instances sent orders to an engine within the takeover delay, and no
  // engine ended because it was ordered to exceed its adapter slots.
  REQUIRE(deployment.SumCounters("hasty_holders") == 0);
  for (const std::string& name : deployment.upstreams()) {
    REQUIRE(deployment.processes().IsRunning(name));
  }
}

TEST_CASE("a required version is in use within its time limit", "[fleet]") {
  SmallDeployment deployment;
  REQUIRE(deployment.WaitUntilServed("entry-1", "coach1"));
  deployment.WriteRequiredVersion("coach1", 2);
  SleepMs(kVersionMs);
  REQUIRE(InferStatus(&deployment, "entry-3") == 200);
  std::string report;
  for (const char* name : {"engine-1", "engine-2"}) {
    report += deployment.Call(name, "GET", "/report", "").body;
  }
  REQUIRE(report.find("coach1@2") != std::string::npos);
  REQUIRE(report.find("coach1@1") == std::string::npos);
}

}  // namespace bilberrypitch::lab
