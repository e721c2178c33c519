// Tests of the node's parts that need no network.
#include <catch2/catch.hpp>

#include "config/catalog.h"
#include "dispatch/upstream_choice.h"
#include "node/metrics.h"
#include "node/upstream_table.h"

namespace bilberrypitch {
namespace {

UpstreamEntry Engine() {
  UpstreamEntry entry;
  entry.id = UpstreamId("e");
  entry.zone = ZoneId("a");
  entry.batch_slots = 8;
  return entry;
}

}  // namespace

TEST_CASE("requests that have ended don't count against an upstream") {
  NodeContext context;
  context.zone = ZoneId("a");
  UpstreamTable table(context);
  UpstreamEntry engine = Engine();
  table.OnPollSent(engine.id);
  table.OnReport(engine.id, 0);
  // Many short ones between two reports.
  for (int i = 0; i < 100; ++i) {
    table.Begin(engine.id);
    table.End(engine.id);
  }
  REQUIRE(Fullness(table.LoadOf(engine, Millis(0))) == 0);
  for (int i = 0; i < 4; ++i) table.Begin(engine.id);
  REQUIRE(Fullness(table.LoadOf(engine, Millis(0))) == 0.5);
  // The next report counts them and two of others.
  table.OnPollSent(engine.id);
  table.OnReport(engine.id, 6);
  REQUIRE(Fullness(table.LoadOf(engine, Millis(0))) == 0.75);
  table.Begin(engine.id);
  REQUIRE(Fullness(table.LoadOf(engine, Millis(0))) == 0.875);
}

TEST_CASE("an upstream that the document shows as leaving takes nothing") {
  NodeContext context;
  UpstreamTable table(context);
  UpstreamEntry engine = Engine();
  REQUIRE(table.LoadOf(engine, Millis(0)).allowed > 0);
  engine.leaving = true;
  REQUIRE(table.LoadOf(engine, Millis(0)).allowed == 0);
}

TEST_CASE("metrics are in the Prometheus text format") {
  Metrics metrics;
  metrics.Add("answered_total", "");
  metrics.Add("refused_total", "kind=\"overloaded\"", 2);
  metrics.Set("requests_waiting", "", 3);
  for (int i = 1; i <= 1000; ++i) metrics.Observe("wait_seconds", i);
  std::string text = metrics.Render();
  REQUIRE(text.find("# TYPE bilberrypitch_answered_total counter\n"
                    "bilberrypitch_answered_total 1\n") != std::string::npos);
  REQUIRE(text.find("bilberrypitch_refused_total{kind=\"overloaded\"} 2\n") !=
          std::string::npos);
  REQUIRE(text.find("bilberrypitch_wait_seconds_count 1000\n") !=
          std::string::npos);
  REQUIRE(metrics.Count("refused_total", "kind=\"overloaded\"") == 2);
}

}  // namespace bilberrypitch
