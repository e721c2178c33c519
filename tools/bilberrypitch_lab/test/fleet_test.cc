// Keys, rates, configuration and membership under failure, through separate
// processes.
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "schema/document.pb.h"
#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

constexpr int kInForceMs = 3000;

int64_t Generation(SmallDeployment& it, const std::string& instance) {
  return IntOr(it.Status(instance), "generation", 0);
}

bool InForceEverywhere(SmallDeployment& it, int64_t generation) {
  return Deployment::WaitFor(kInForceMs, [&] {
    for (const std::string& name : it.instances()) {
      if (Generation(it, name) < generation) return false;
    }
    return true;
  });
}

}  // namespace

TEST_CASE("a withdrawn key ends its streams and stops everywhere", "[fleet]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-2", "coach1"));
  auto stream = std::async(std::launch::async, [&] {
    return it.Ask("entry-2", it.key(), "coach1", 4000, true);
  });
  REQUIRE(Deployment::WaitFor(
      5000, [&] { return IntOr(it.Status("entry-2"), "in_flight", 0) == 1; }));
  REQUIRE(it.WithdrawKey("entry-3", it.key()) == 200);
  bool stopped = Deployment::WaitFor(kInForceMs, [&] {
    for (const std::string& name : it.instances()) {
      if (it.Ask(name, it.key(), "coach1", 1).status != 401) return false;
    }
    return true;
  });
  REQUIRE(stopped);
  REQUIRE(stream.wait_for(std::chrono::milliseconds(kInForceMs)) ==
          std::future_status::ready);
  std::string body = stream.get().body;
  REQUIRE(body.find("key_withdrawn") != std::string::npos);
  REQUIRE(body.find("[DONE]") == std::string::npos);
}

TEST_CASE("a paused instance does not serve a key withdrawn meanwhile",
          "[fleet]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-2", "coach1"));
  it.Freeze("entry-2");
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  REQUIRE(it.WithdrawKey("entry-1", it.key()) == 200);
  // Nobody can tell it of the change when it wakes.
  it.Freeze("entry-1");
  it.Freeze("entry-3");
  it.SetFaults("store", {{"out", true}});
  // These wait in its socket and are the first that it sees.
  std::vector<std::future<CallOutcome>> all;
  all.reserve(10);
  for (int i = 0; i < 10; ++i) {
    all.push_back(std::async(std::launch::async, [&] {
      return it.Ask("entry-2", it.key(), "coach1", 1);
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  it.Thaw("entry-2");
  for (auto& one : all) {
    // It says so before it looks at the key, or knows that it was withdrawn.
    std::string kind = SmallDeployment::ErrorKindIn(one.get());
    REQUIRE((kind == "upstream_unavailable" || kind == "unauthenticated"));
  }
  it.Thaw("entry-1");
  it.Thaw("entry-3");
}

TEST_CASE("operators race: one wins, the other is told which generation did",
          "[fleet]") {
  SmallDeployment it;
  int64_t base = Generation(it, "entry-1");
  auto put = [&](const std::string& at) {
    return it.PutDocument(at, static_cast<uint64_t>(base));
  };
  // The document of the lab has no keys; what it puts takes the key away.
  auto first = std::async(std::launch::async, [&] { return put("entry-1"); });
  auto second = std::async(std::launch::async, [&] { return put("entry-3"); });
  std::vector<int> statuses = {first.get(), second.get()};
  std::sort(statuses.begin(), statuses.end());
  REQUIRE(statuses == std::vector<int>{200, 409});
  REQUIRE(InForceEverywhere(it, base + 1));
  // The store's answer is lost after the write: settled, accepted once.
  it.SetFaults("store", {{"lose_writes", 1000}});
  int status = it.PutDocument("entry-2", static_cast<uint64_t>(base + 1));
  it.SetFaults("store", json::object());
  REQUIRE((status == 200 || status == 503 || status == 502));
  REQUIRE(it.IssueKey("entry-2", "club").size() > 20);
  std::string audit = it.Call("entry-1/operator", "GET", "/audit", "").body;
  for (int64_t n = 1; n <= Generation(it, "entry-1"); ++n) {
    REQUIRE(audit.find("\"generation\":" + std::to_string(n) + ",") !=
            std::string::npos);
  }
}

TEST_CASE("a damaged or newer document leaves the last one in force",
          "[fleet]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  int64_t before = Generation(it, "entry-1");
  // L2JpbGJlcnJ5cGl0Y2gvaGVhZA== is the head's key, then damaged bytes.
  it.Call("store", "POST", "/v3/kv/put",
          R"({"key":"L2JpbGJlcnJ5cGl0Y2gvaGVhZA==","value":"/////w=="})");
  REQUIRE(Deployment::WaitFor(10000, [&] {
    return it.Metric("entry-1", "config_refused_total{why=\"damaged\"}") > 0;
  }));
  REQUIRE(Generation(it, "entry-1") == before);
  REQUIRE(it.Ask("entry-1", it.key(), "coach1", 1).status == 200);
}

TEST_CASE("the store is out: all goes on, a new instance starts from a peer",
          "[fleet]") {
  SmallOptions options;
  options.relay_store = true;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  SECTION("for one instance: it still learns of changes within seconds") {
    it.SetRelay("store", "cut");
    // All instances are cut; the operator's change comes by another way.
    REQUIRE(it.Ask("entry-1", it.key(), "coach1", 1).status == 200);
    std::this_thread::sleep_for(std::chrono::seconds(9));
    REQUIRE(it.Ask("entry-1", it.key(), "coach1", 1).status == 200);
    it.SetRelay("store", "pass");
  }
  SECTION("for all, and an instance joins") {
    it.SetFaults("store", {{"out", true}});
    it.StartInstance("entry-4", "b");
    REQUIRE(Deployment::WaitFor(10000, [&] {
      return Generation(it, "entry-4") == Generation(it, "entry-1");
    }));
    HttpHeaders headers;
    headers.Add("Authorization", "Bearer " + it.key());
    REQUIRE(it.Call("entry-4", "GET", "/v1/models", "", headers).status == 200);
    it.SetFaults("store", json::object());
    it.WaitReady({"entry-4"});
    REQUIRE(it.Warm("entry-4", "coach1"));
  }
}

TEST_CASE("no more than rate and burst over all instances, under failure",
          "[fleet]") {
  SmallOptions options;
  options.rate = 200;
  options.burst = 600;
  options.engine.step_ms = 1;
  options.engine.batch_slots = 64;
  options.instance.queue_ms = 2000;
  SmallDeployment it(options);
  auto spent = [&] {
    return IntOr(it.Facts("engine-1"), "tokens", 0) +
           IntOr(it.Facts("engine-2"), "tokens", 0);
  };
  std::atomic<bool> stop = false;
  auto begun = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  callers.reserve(12);
  std::atomic<int> answered = 0;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const std::string& at = it.instances()[static_cast<size_t>(i) % 3];
        CallOutcome outcome = it.Ask(at, it.key(), "coach1", 20);
        answered += outcome.status == 200;
        if (outcome.status != 200) {
          std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
      }
    });
  }
  auto nap = [](int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  };
  nap(3000);
  SECTION("all well") {}
  SECTION("one frozen and woken") {
    it.Freeze("entry-2");
    nap(4000);
    it.Thaw("entry-2");
  }
  SECTION("one killed, unlisted and replaced") {
    it.Kill("entry-2");
    it.Unlist("entry-2");
    nap(1000);
    it.StartInstance("entry-4", "a");
  }
  SECTION("the store is out") { it.SetFaults("store", {{"out", true}}); }
  nap(5000);
  stop = true;
  int64_t tokens = spent();
  double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
          .count();
  for (std::thread& caller : callers) caller.join();
  REQUIRE(answered > 20);
  REQUIRE(static_cast<double>(tokens) <= 600 + 200 * seconds);
}

TEST_CASE("a planned stop hands over the lead and the slots", "[fleet]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  std::string leader = IntOr(it.Status("entry-1"), "leads_with_epoch", 0) > 0
                           ? "entry-1"
                           : "entry-2";
  std::string other = leader == "entry-1" ? "entry-2" : "entry-1";
  REQUIRE(it.Terminate(leader) == 0);
  REQUIRE(Deployment::WaitFor(8000, [&] {
    json::object status = it.Status(other);
    return IntOr(status, "leads_with_epoch", 0) > 0 &&
           IntOr(status, "rate_slots", 0) == 2;
  }));
  REQUIRE(it.Log(leader).find("Resigned") != std::string::npos);
  REQUIRE(it.Ask(other, it.key(), "coach1", 1).status == 200);
}

}  // namespace bilberrypitch::lab
