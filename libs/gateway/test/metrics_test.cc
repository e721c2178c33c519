// Tests of the latency histogram and the metrics page.
#include <catch2/catch.hpp>

#include "gateway/latency_histogram.h"
#include "gateway/metrics_page.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

TEST_CASE("histogram buckets are cumulative and include their upper bound",
          "[metrics]") {
  LatencyHistogram histogram;
  for (int64_t ms : {0, 100, 101, 1000, 40000}) {
    histogram.Add(Millis(ms));
  }
  std::string text = histogram.ToPrometheusText("wait_seconds");
  INFO(text);
  auto has = [&](const char* line) {
    return text.find(line) != std::string::npos;
  };
  REQUIRE(has("# TYPE wait_seconds histogram\n"));
  REQUIRE(has("wait_seconds_bucket{le=\"0.1\"} 2\n"));
  REQUIRE(has("wait_seconds_bucket{le=\"0.2\"} 3\n"));
  REQUIRE(has("wait_seconds_bucket{le=\"1\"} 4\n"));
  REQUIRE(has("wait_seconds_bucket{le=\"30\"} 4\n"));
  REQUIRE(has("wait_seconds_bucket{le=\"+Inf\"} 5\n"));
  REQUIRE(has("wait_seconds_sum 41.201\n"));
  REQUIRE(has("wait_seconds_count 5\n"));
}

TEST_CASE("the metrics page contains the counters and histograms",
          "[metrics]") {
  UpstreamRegistry::Hooks hooks;
  hooks.on_local_load_changed = [](const UpstreamId&) {};
  ServingState state(InstanceSettings(), hooks);
  state.counters.received = 7;
  state.counters
      .response_faults[static_cast<size_t>(ResponseFault::kOtherRequest)] = 2;
  state.first_event_latency.Add(Millis(300));
  UpstreamEntry entry;
  entry.id = UpstreamId("i\"1");
  entry.slots = 6;
  state.upstreams.OnRecord({entry.id, entry}, EventLoop::Now(), Millis(0));
  state.upstreams.OnLoadReport(state.upstreams.Find(entry.id), {3, 0, 6, 2.5},
                               EventLoop::Now());
  InstanceMetrics metrics;
  metrics.orders = 3;
  metrics.body_bytes_held = 12;
  metrics.connections_ended[static_cast<size_t>(EndCause::kMemory)] = 5;
  std::string text = FormatMetrics(state, metrics);
  for (const char* line :
       {"bilberrypitch_requests_received_total 7\n",
        "bilberrypitch_responses_refused_total{fault=\"other_request\"} 2\n",
        "bilberrypitch_responses_refused_total{fault=\"unsigned\"} 0\n",
        "bilberrypitch_upstream_slowdown{upstream=\"i\\\"1\"} 2.50\n",
        "bilberrypitch_upstream_concurrency_limit{upstream=\"i\\\"1\"} 3.6\n",
        "bilberrypitch_body_bytes_held 12\n",
        "bilberrypitch_connections_ended_total{cause=\"memory\"} 5\n",
        "bilberrypitch_connections_ended_total{cause=\"stalled\"} 0\n",
        "bilberrypitch_orders_total 3\n", "bilberrypitch_config_version 0\n",
        "bilberrypitch_first_event_seconds_bucket{le=\"0.4\"} 1\n",
        "bilberrypitch_longest_pause_seconds_count 0\n"}) {
    INFO(line);
    REQUIRE(text.find(line) != std::string::npos);
  }
}

}  // namespace bilberrypitch
