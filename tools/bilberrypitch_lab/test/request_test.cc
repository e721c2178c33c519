// Requests under failure, through separate processes.
#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <thread>

#include "schema/document.pb.h"
#include "small_deployment.h"

namespace bilberrypitch::lab {
namespace {

int64_t EvictedWhileServing(SmallDeployment& it) {
  return IntOr(it.Facts("engine-1"), "evicted_while_serving", -1) +
         IntOr(it.Facts("engine-2"), "evicted_while_serving", -1);
}

}  // namespace

TEST_CASE("a booking runs at most once", "[request]") {
  SmallOptions options;
  options.relay_service = true;
  options.relay_store = true;
  SmallDeployment it(options);

  SECTION("the answer is lost: unknown, never not run, and not repeated") {
    // A kept connection must not be used: libcurl would send it again.
    REQUIRE(it.Book("entry-1", "before", "").status == 200);
    it.SetRelay("booking", "lose_answers");
    CallOutcome outcome = it.Book("entry-1", "lost", "");
    REQUIRE(SmallDeployment::ErrorKindIn(outcome) == "outcome_unknown");
    REQUIRE(SmallDeployment::NotRunIn(outcome) == "unknown");
    REQUIRE(it.Runs("lost") == 1);
    CallOutcome keyed = it.Book("entry-1", "keyed", "k-lost");
    REQUIRE(SmallDeployment::NotRunIn(keyed) == "unknown");
    it.SetRelay("booking", "pass");
    CallOutcome again = it.Book("entry-3", "keyed", "k-lost");
    REQUIRE(SmallDeployment::ErrorKindIn(again) == "idempotency_key_in_use");
    REQUIRE(SmallDeployment::NotRunIn(again) == "unknown");
    REQUIRE(it.Runs("keyed") == 1);
  }
  SECTION("no connection: not run is true, and the key may be used again") {
    it.SetRelay("booking", "refuse");
    // The relay takes and closes: nothing can be said for sure.
    CallOutcome closed = it.Book("entry-1", "closed", "");
    REQUIRE(SmallDeployment::NotRunIn(closed) == "unknown");
    it.Kill("relay-booking");
    CallOutcome refused = it.Book("entry-1", "refused", "k-refused");
    REQUIRE(SmallDeployment::ErrorKindIn(refused) == "upstream_unavailable");
    REQUIRE(SmallDeployment::NotRunIn(refused) == "true");
    REQUIRE(it.Runs("refused") == 0);
    it.Restart("relay-booking");
    REQUIRE(Deployment::WaitFor(10000, [&] {
      return it.Book("entry-2", "refused", "k-refused").status == 200;
    }));
    REQUIRE(it.Runs("refused") == 1);
  }
  SECTION("the same key at two instances at the same moment") {
    for (int i = 0; i < 20; ++i) {
      std::string body = "race " + std::to_string(i);
      auto first = std::async(std::launch::async,
                              [&] { return it.Book("entry-1", body, body); });
      auto second = std::async(std::launch::async,
                               [&] { return it.Book("entry-3", body, body); });
      std::set<int> statuses = {first.get().status, second.get().status};
      REQUIRE(statuses.count(200) == 1);
      REQUIRE(it.Runs(body) == 1);
    }
    CallOutcome replay = it.Book("entry-2", "race 3", "race 3");
    REQUIRE(replay.headers.Get("Idempotency-Replayed") == "true");
    REQUIRE(it.Book("entry-2", "other body", "race 3").status == 422);
    REQUIRE(it.Runs("race 3") == 1);
  }
  SECTION("the store's answer is lost after the write: the claim is settled") {
    it.SetFaults("store", {{"lose_writes", 1}});
    REQUIRE(it.Book("entry-1", "settled", "k-settled").status == 200);
    REQUIRE(it.Runs("settled") == 1);
  }
  SECTION("the store is out: refused, not run") {
    it.SetFaults("store", {{"out", true}});
    CallOutcome outcome = it.Book("entry-1", "out", "k-out");
    REQUIRE(SmallDeployment::ErrorKindIn(outcome) == "store_unavailable");
    REQUIRE(SmallDeployment::NotRunIn(outcome) == "true");
    REQUIRE(it.Runs("out") == 0);
    REQUIRE(it.Book("entry-1", "unkeyed", "").status == 200);
  }
}

TEST_CASE("an adapter is not evicted while it serves", "[request]") {
  SmallOptions options;
  options.engine.adapter_slots = 1;
  options.engine.step_ms = 20;
  options.instance.request_ms = 60000;
  options.instance.progress_ms = 20000;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  auto stream = std::async(std::launch::async, [&] {
    return it.Ask("entry-1", it.key(), "coach1", 300, true);
  });
  REQUIRE(Deployment::WaitFor(
      5000, [&] { return IntOr(it.Status("entry-1"), "in_flight", 0) >= 1; }));
  bool frozen = false;
  SECTION("while others want its place") {}
  SECTION("while its instance is frozen") {
    it.Freeze("entry-1");
    frozen = true;
  }
  SECTION("while the leader of the zone is killed") {
    bool first = IntOr(it.Status("entry-2"), "leads_with_epoch", 0) > 0;
    if (first) it.Kill("entry-2");
  }
  SECTION("while the store is out") { it.SetFaults("store", {{"out", true}}); }
  std::vector<std::future<CallOutcome>> others;
  for (int i = 2; i < 8; ++i) {
    others.push_back(std::async(std::launch::async, [&it, i] {
      return it.Ask("entry-3", it.key(), "coach" + std::to_string(i), 2);
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(3500));
  if (frozen) it.Thaw("entry-1");
  REQUIRE(stream.get().body.find("[DONE]") != std::string::npos);
  for (auto& other : others) other.get();
  REQUIRE(EvictedWhileServing(it) == 0);
  // Others did get its place once it had ended.
  REQUIRE(IntOr(it.Facts("engine-1"), "unloads", 0) +
              IntOr(it.Facts("engine-2"), "unloads", 0) >
          0);
}

TEST_CASE("an adapter stays while an engine runs what was given up",
          "[request]") {
  SmallOptions options;
  options.engines = 1;
  options.engine.adapter_slots = 1;
  options.engine.step_ms = 20;
  options.relay_engines = true;
  options.instance.progress_ms = 500;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  auto stream = std::async(std::launch::async, [&] {
    return it.Ask("entry-1", it.key(), "coach1", 400, true);
  });
  REQUIRE(Deployment::WaitFor(
      5000, [&] { return IntOr(it.Facts("engine-1"), "running", 0) == 1; }));
  // The engine does not see that the instance gives the connection up.
  it.SetRelay("engine-1", "silence_open");
  stream.get();
  REQUIRE(IntOr(it.Facts("engine-1"), "running", 0) == 1);
  it.Ask("entry-2", it.key(), "coach2", 1);
  REQUIRE(IntOr(it.Facts("engine-1"), "evicted_while_serving", -1) == 0);
}

TEST_CASE("a wrong, crossed or truncated answer is never passed on",
          "[request]") {
  SmallOptions options;
  options.engines = 1;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  for (const char* fault :
       {"answer_wrong_model", "cross_request_ids", "stop_mid_stream"}) {
    INFO(fault);
    it.SetFaults("engine-1", {{fault, true}});
    CallOutcome stream = it.Ask("entry-1", it.key(), "coach1", 5, true);
    REQUIRE(stream.body.find("[DONE]") == std::string::npos);
    REQUIRE(stream.body.find("wrong_answer") != std::string::npos);
    if (std::string(fault) != "stop_mid_stream") {
      CallOutcome whole = it.Ask("entry-1", it.key(), "coach1", 5);
      REQUIRE(SmallDeployment::ErrorKindIn(whole) == "wrong_answer");
    }
    it.SetFaults("engine-1", json::object());
    REQUIRE(it.Ask("entry-1", it.key(), "coach1", 5).status == 200);
  }
}

TEST_CASE("an engine's stream is cancelled when its caller is gone",
          "[request]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  HttpCall call;
  call.method = "POST";
  call.address = it.Address("entry-1");
  call.target = "/v1/chat/completions";
  call.headers.Add("Authorization", "Bearer " + it.key());
  call.body =
      R"({"model":"coach1","messages":[],"stream":true,"max_tokens":5000})";
  call.on_data = [](std::string_view) { return false; };  // Hangs up.
  it.client()->Run(call);
  REQUIRE(Deployment::WaitFor(5000, [&] {
    return IntOr(it.Facts("engine-1"), "cancelled", 0) +
               IntOr(it.Facts("engine-2"), "cancelled", 0) ==
           1;
  }));
}

TEST_CASE("connections that go silent are found and the work is moved",
          "[request]") {
  SmallOptions options;
  options.relay_engines = true;
  options.instance.progress_ms = 800;
  options.instance.first_byte_ms = 1500;
  SmallDeployment it(options);
  REQUIRE(it.Warm("entry-1", "coach1"));
  for (int i = 0; i < 4; ++i) it.Ask("entry-1", it.key(), "coach1", 2);
  it.SetRelay("engine-1", "silence_open");
  it.SetRelay("engine-2", "silence_open");
  // Whole requests on the kept connections: each is answered by a retry.
  auto begun = std::chrono::steady_clock::now();
  std::vector<std::future<CallOutcome>> all;
  all.reserve(6);
  for (int i = 0; i < 6; ++i) {
    all.push_back(std::async(std::launch::async, [&] {
      return it.Ask("entry-1", it.key(), "coach1", 3);
    }));
  }
  for (auto& one : all) REQUIRE(one.get().status == 200);
  auto took = std::chrono::steady_clock::now() - begun;
  // First-byte deadline, and a second one for a connection that was kept too.
  REQUIRE(took < std::chrono::milliseconds(2 * 1500 + 1000));
  // No upstream is marked down for it.
  REQUIRE(it.Ask("entry-1", it.key(), "coach1", 3).status == 200);
  // A stream in progress ends with an error within the progress deadline.
  auto stream = std::async(std::launch::async, [&] {
    return it.Ask("entry-1", it.key(), "coach1", 2000, true);
  });
  REQUIRE(Deployment::WaitFor(
      3000, [&] { return IntOr(it.Status("entry-1"), "in_flight", 0) == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  it.SetRelay("engine-1", "silence_open");
  it.SetRelay("engine-2", "silence_open");
  begun = std::chrono::steady_clock::now();
  std::string body = stream.get().body;
  REQUIRE(std::chrono::steady_clock::now() - begun <
          std::chrono::milliseconds(800 + 700));
  REQUIRE(body.find("upstream_timeout") != std::string::npos);
  REQUIRE(body.find("[DONE]") == std::string::npos);
}

TEST_CASE("a poison request crashes a bounded number of engines", "[request]") {
  SmallOptions options;
  options.engines = 4;
  SmallDeployment it(options);
  for (int i = 1; i <= 4; ++i) {
    it.SetFaults("engine-" + std::to_string(i), {{"crash_on_text", "venom"}});
  }
  REQUIRE(it.Warm("entry-1", "coach1"));
  int crashes = 0;
  auto revive = [&] {
    for (int i = 1; i <= 4; ++i) {
      std::string name = "engine-" + std::to_string(i);
      if (it.Alive(name)) continue;
      ++crashes;
      it.Restart(name);
      Deployment::WaitFor(5000, [&] {
        return it.Call(name, "GET", "/metrics", "").status == 200;
      });
      it.SetFaults(name, {{"crash_on_text", "venom"}});
    }
  };
  // The caller sends it again and again, to each instance in turn.
  int innocents = 0;
  for (int round = 0; round < 9; ++round) {
    const std::string& at = it.instances()[static_cast<size_t>(round) % 3];
    auto poison = std::async(std::launch::async, [&] {
      return it.Ask(at, it.key(), "coach1", 2, false, "venom");
    });
    auto innocent = std::async(std::launch::async, [&] {
      return it.Ask(at, it.key(), "coach1", 20, false,
                    "innocent " + std::to_string(round));
    });
    while (poison.wait_for(std::chrono::milliseconds(100)) !=
           std::future_status::ready) {
      revive();
    }
    while (innocent.wait_for(std::chrono::milliseconds(100)) !=
           std::future_status::ready) {
      revive();
    }
    REQUIRE(poison.get().status != 200);
    innocents += innocent.get().status == 200;
  }
  revive();
  // Two through the first instance, one more through each of two others.
  REQUIRE(crashes <= 4);
  REQUIRE(crashes >= 1);
  REQUIRE(innocents == 9);
  CallOutcome last = it.Ask("entry-2", it.key(), "coach1", 2, false, "venom");
  REQUIRE(SmallDeployment::ErrorKindIn(last) == "quarantined");
}

TEST_CASE("a leaving engine gets nothing new after two seconds", "[request]") {
  SmallDeployment it;
  REQUIRE(it.Warm("entry-1", "coach1"));
  REQUIRE(it.Warm("entry-2", "coach2"));
  std::string engine =
      IntOr(it.Facts("engine-1"), "loads", 0) > 0 ? "engine-1" : "engine-2";
  auto stream = std::async(std::launch::async, [&] {
    return it.Ask("entry-1", it.key(), "coach1", 800, true);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  it.ListUpstreamLeaving(engine);
  // The list lags by 300 ms; two seconds count from when it shows it.
  std::this_thread::sleep_for(std::chrono::milliseconds(2300));
  auto taken = [&] {
    json::object facts = it.Facts(engine);
    return IntOr(facts, "completions", 0) + IntOr(facts, "running", 0) +
           IntOr(facts, "waiting", 0);
  };
  int64_t before = taken();
  for (int i = 0; i < 10; ++i) {
    it.Ask("entry-1", it.key(), "coach" + std::to_string(i), 1);
  }
  REQUIRE(taken() == before);
  REQUIRE(stream.get().body.find("[DONE]") != std::string::npos);
}

}  // namespace bilberrypitch::lab
