// The small decisions: routes, freshness, crashes, events, retries, attempts.
#include <catch2/catch.hpp>

#include "serving/active_config.h"
#include "serving/attempt_policy.h"
#include "serving/crash_tracker.h"
#include "serving/event_splitter.h"
#include "serving/freshness.h"
#include "serving/retry_budget.h"
#include "serving/upstream_chooser.h"

namespace bilberrypitch {
namespace {

Route RouteAt(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "Shop.example";
  route.path_prefix = prefix;
  route.services = {{ServiceId("app"), 1}};
  return route;
}

}  // namespace

TEST_CASE("the longest prefix of the host's routes is chosen", "[routes]") {
  ServingConfig config;
  config.routes = {RouteAt("root", "/"), RouteAt("long", "/a/b/"),
                   RouteAt("short", "/a/")};
  ActiveConfig active(config);
  REQUIRE(active.FindRoute("shop.example:80", "/a/b/c")->name == "long");
  REQUIRE(active.FindRoute("shop.example", "/a/bc")->name == "short");
  REQUIRE(active.FindRoute("shop.example", "/a/b")->name == "short");
  REQUIRE(active.FindRoute("shop.example", "/x")->name == "root");
  REQUIRE(active.FindRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("a split gives each service its weight", "[routes]") {
  Route route = RouteAt("split", "/");
  route.services = {{ServiceId("one"), 90}, {ServiceId("two"), 10}};
  int two = 0;
  for (uint64_t draw = 0; draw < 1000; ++draw) {
    two += PickService(route, draw) == ServiceId("two") ? 1 : 0;
  }
  REQUIRE(two == 100);
}

TEST_CASE("keyed requests end before the withdrawal bound", "[freshness]") {
  Freshness it(Millis(5000));
  REQUIRE_FALSE(it.MayServe(Millis(1)));
  it.OnConfirmed(Millis(1000));
  REQUIRE(it.MayServe(Millis(5000)));
  REQUIRE_FALSE(it.MayServe(Millis(5999)));
  it.OnConfirmed(Millis(500));  // Older news changes nothing.
  REQUIRE(it.MayServe(Millis(5000)));
}

TEST_CASE("without a bound any confirmation is enough", "[freshness]") {
  Freshness it(Millis(0));
  REQUIRE_FALSE(it.MayServe(Millis(1)));
  it.OnConfirmed(Millis(1));
  REQUIRE(it.MayServe(Millis(1000000)));
}

TEST_CASE("a request is refused after three crashes of its own", "[crashes]") {
  CrashTracker it;
  Millis now(1000);
  for (int64_t start = 0; start < 3; ++start) {
    REQUIRE(it.Check(7, now) == CrashDecision::kAllow);
    it.OnPeerCrash(7, {UpstreamId("u"), start}, now);
    it.OnPeerCrash(7, {UpstreamId("u"), start}, now);  // Told twice.
  }
  REQUIRE(it.Check(7, now) == CrashDecision::kReject);
  REQUIRE(it.Check(8, now) == CrashDecision::kAllow);
  REQUIRE(it.Check(7, now + Millis(200 * 1000)) == CrashDecision::kAllow);
}

TEST_CASE("a good run clears a request that was near crashes", "[crashes]") {
  CrashTracker it;
  Millis now(1000);
  it.OnPeerCrash(7, {UpstreamId("u"), 1}, now);
  it.OnPeerCrash(7, {UpstreamId("u"), 2}, now);
  it.OnSuccess(7);
  it.OnPeerCrash(7, {UpstreamId("u"), 3}, now);
  REQUIRE(it.Check(7, now) == CrashDecision::kAllow);
}

TEST_CASE("a crashing request waits before its crashes are confirmed",
          "[crashes]") {
  // Retries are faster than the word that an upstream has ended.
  CrashTracker it;
  Millis now(1000);
  REQUIRE_FALSE(it.OnConnectionBroken(7, {UpstreamId("a"), 1}, now));
  REQUIRE(it.Check(7, now) == CrashDecision::kAllow);
  REQUIRE(it.OnConnectionBroken(7, {UpstreamId("b"), 1}, now));
  REQUIRE(it.Check(7, now) == CrashDecision::kAllow);
  REQUIRE(it.OnConnectionBroken(7, {UpstreamId("c"), 1}, now));
  REQUIRE(it.Check(7, now) == CrashDecision::kWait);
  SECTION("the upstreams turn out to have ended") {
    for (const char* name : {"a", "b", "c"}) {
      REQUIRE(it.OnUpstreamDown(UpstreamId(name), now + Millis(500)).size() ==
              1);
    }
    REQUIRE(it.Check(7, now + Millis(60 * 1000)) == CrashDecision::kReject);
  }
  SECTION("they have not: only answers were lost") {
    REQUIRE(it.OnUpstreamDown(UpstreamId("d"), now + Millis(500)).empty());
    REQUIRE(it.Check(7, now + Millis(7000)) == CrashDecision::kAllow);
  }
  SECTION("a late end of one is no crash of this request") {
    REQUIRE(it.OnUpstreamDown(UpstreamId("a"), now + Millis(7000)).empty());
    REQUIRE(it.Check(7, now + Millis(7000)) == CrashDecision::kAllow);
  }
}

TEST_CASE("another instance's suspicions count until they are settled",
          "[crashes]") {
  CrashTracker it;
  Millis now(1000);
  it.OnPeerSuspicion(7, {UpstreamId("a"), 1}, now);
  it.OnPeerSuspicion(7, {UpstreamId("b"), 1}, now);
  it.OnPeerSuspicion(7, {UpstreamId("b"), 1}, now);  // Told twice.
  REQUIRE(it.Check(7, now) == CrashDecision::kAllow);
  it.OnConnectionBroken(7, {UpstreamId("c"), 1}, now);
  REQUIRE(it.Check(7, now) == CrashDecision::kWait);
  // Only what this instance saw itself is told on.
  REQUIRE(it.OnUpstreamDown(UpstreamId("a"), now).empty());
  REQUIRE(it.OnUpstreamDown(UpstreamId("c"), now).size() == 1);
  it.OnPeerCrash(7, {UpstreamId("b"), 1}, now);
  REQUIRE(it.Check(7, now + Millis(30 * 1000)) == CrashDecision::kReject);
}

TEST_CASE("only whole events pass and the last id is kept", "[events]") {
  EventSplitter it;
  REQUIRE(it.Feed("id: 1\ndata: x") == "");
  REQUIRE_FALSE(it.AtBoundary());
  REQUIRE(it.Feed("\n\nid: 2\ndata: y\n") == "id: 1\ndata: x\n\n");
  REQUIRE(it.last_id() == "1");
  REQUIRE(it.Feed("\nid: 3\r\ndata: z\r\n\r\nid") ==
          "id: 2\ndata: y\n\nid: 3\r\ndata: z\r\n\r\n");
  REQUIRE(it.last_id() == "3");
  REQUIRE(it.events() == 3);
  it.DropPartial();
  REQUIRE(it.AtBoundary());
}

TEST_CASE("the allowance keeps to its part of the bound", "[retries]") {
  RetryBudget it({0.2, 50, Millis(10000)});
  Millis now(100000);
  for (int i = 0; i < 100; ++i) {
    it.OnRequest(now);
  }
  int taken = 0;
  while (it.TryAcquire(10, now)) {
    ++taken;
  }
  REQUIRE(taken <= 0.2 * 100 + 50.0 / 10);
  REQUIRE(taken >= 10);
  REQUIRE_FALSE(it.TryAcquire(10, now + Millis(9000)));
  REQUIRE(it.TryAcquire(1, now + Millis(30000)));
}

TEST_CASE("a refusal is given only when nothing can have run", "[attempts]") {
  AttemptState facts;
  facts.kind = RequestKind::kNonIdempotent;
  facts.time_left = Millis(0);
  facts.end = AttemptOutcome::kRejectedNotRun;
  AttemptDecision unrun = DecideNextStep(facts);
  REQUIRE(unrun.step == NextStep::kFail);
  REQUIRE(unrun.error.not_run == NotRun::kTrue);
  REQUIRE(ErrorInfoFor(unrun.error.kind).http_status == 503);
  for (AttemptOutcome end :
       {AttemptOutcome::kConnectionBroken, AttemptOutcome::kNoResponse,
        AttemptOutcome::kDeadlineExceeded, AttemptOutcome::kInvalidResponse}) {
    facts.end = end;
    facts.may_have_run = true;
    facts.time_left = Millis(5000);
    AttemptDecision run = DecideNextStep(facts);
    REQUIRE(run.step == NextStep::kFail);
    REQUIRE(run.error.not_run != NotRun::kTrue);
    int status = ErrorInfoFor(run.error.kind).http_status;
    REQUIRE((status == 502 || status == 504));
  }
}

TEST_CASE("what may run once is sent again only unrun", "[attempts]") {
  AttemptState facts;
  facts.kind = RequestKind::kStream;
  facts.time_left = Millis(5000);
  facts.end = AttemptOutcome::kNotSent;
  REQUIRE(DecideNextStep(facts).step == NextStep::kRetry);
  facts.end = AttemptOutcome::kConnectionBroken;
  facts.may_have_run = true;
  facts.upstreams_maybe_run = 1;
  facts.max_upstreams = 2;
  REQUIRE(DecideNextStep(facts).step == NextStep::kFail);
  facts.resumable = true;
  REQUIRE(DecideNextStep(facts).step == NextStep::kRetry);
  facts.response_started = true;
  REQUIRE(DecideNextStep(facts).step == NextStep::kResume);
  facts.upstreams_maybe_run = 2;
  REQUIRE(DecideNextStep(facts).step == NextStep::kFail);
}

TEST_CASE("an engine that holds the adapter goes before others", "[choice]") {
  UpstreamState first;
  first.entry.id = UpstreamId("one");
  UpstreamState second;
  second.entry.id = UpstreamId("two");
  ResidencyView residency;
  ModelRef target{ModelId("m"), AdapterId("a")};
  ChoiceInput facts;
  facts.model = target;
  facts.now = Millis(1000);
  std::vector<UpstreamState*> usable = {&first, &second};
  REQUIRE_FALSE(ChooseUpstream(usable, residency, facts));
  LoadedModel base{ModelId("m"), 1, {}};
  residency.SetBaseModels(first.entry.id, {base});
  residency.SetBaseModels(second.entry.id, {base});
  REQUIRE_FALSE(ChooseUpstream(usable, residency, facts)->resident);
  for (UpstreamState* it : usable) {
    ResidencyView holds = residency;
    holds.OnReady(it->entry.id, target, 1);
    std::optional<UpstreamChoice> choice = ChooseUpstream(usable, holds, facts);
    REQUIRE(choice->upstream == it);
    REQUIRE(choice->resident);
    facts.minimum_version = 2;
    REQUIRE_FALSE(ChooseUpstream(usable, holds, facts)->resident);
    facts.minimum_version = 0;
  }
}

// Pattern: one adapter wanted far more than the rest.
TEST_CASE("a hot adapter gets a second copy when its engine is behind",
          "[choice]") {
  UpstreamState first;
  first.entry.id = UpstreamId("one");
  first.first_event_ms_per_token = 0.06;
  UpstreamState second;
  second.entry.id = UpstreamId("two");
  second.first_event_ms_per_token = 0.06;
  ModelRef target{ModelId("m"), AdapterId("a")};
  ResidencyView residency;
  LoadedModel base{ModelId("m"), 1, {}};
  residency.SetBaseModels(first.entry.id, {base});
  residency.SetBaseModels(second.entry.id, {base});
  residency.OnReady(first.entry.id, target, 1);
  ChoiceInput facts;
  facts.model = target;
  facts.prompt_tokens = 1800;
  facts.now = Millis(1000);
  std::vector<UpstreamState*> usable = {&first, &second};
  first.pending_prefill_tokens = 1800;
  REQUIRE(ChooseUpstream(usable, residency, facts)->upstream == &first);
  first.pending_prefill_tokens = 14 * 1800;
  REQUIRE(ChooseUpstream(usable, residency, facts)->upstream == &second);
}

// Pattern: one request crashes its engine and breaks the others there.
TEST_CASE("requests under which a connection broke are kept apart",
          "[choice]") {
  UpstreamState holder;
  holder.entry.id = UpstreamId("one");
  UpstreamState other;
  other.entry.id = UpstreamId("two");
  ModelRef target{ModelId("m"), AdapterId("a")};
  ResidencyView residency;
  LoadedModel base{ModelId("m"), 1, {}};
  residency.SetBaseModels(holder.entry.id, {base});
  residency.SetBaseModels(other.entry.id, {base});
  residency.OnReady(holder.entry.id, target, 1);
  ChoiceInput facts;
  facts.model = target;
  facts.now = Millis(1000);
  facts.suspect = true;
  std::vector<UpstreamState*> usable = {&holder, &other};
  REQUIRE(ChooseUpstream(usable, residency, facts)->upstream == &holder);
  holder.suspect_requests = 1;
  REQUIRE(ChooseUpstream(usable, residency, facts)->upstream == &other);
  facts.suspect = false;
  REQUIRE(ChooseUpstream(usable, residency, facts)->upstream == &holder);
}

// Pattern: a burst of long prompts at an engine that runs streams.
TEST_CASE(
    "prompts are held while an engine has as much to read as a pause allows",
    "[choice]") {
  UpstreamState engine;
  engine.first_event_ms_per_token = 0.06;
  Millis pause(400);
  Millis now(1000);
  REQUIRE(
      CanStartPrefill(engine, 9000, pause, now));  // Alone it is read at once.
  engine.pending_prefill_tokens = 3000;
  REQUIRE(CanStartPrefill(engine, 2000, pause, now));
  REQUIRE_FALSE(CanStartPrefill(engine, 3000, pause, now));
  REQUIRE(
      CanStartPrefill(engine, 3000, Millis(0), now));  // No pause is stated.
  engine.peer_loads[MachineId("m2")] = {1, 2000, now};
  REQUIRE_FALSE(CanStartPrefill(engine, 2000, pause, now));
}

}  // namespace bilberrypitch
