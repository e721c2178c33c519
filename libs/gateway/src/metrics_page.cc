// Formats the metrics page.
#include "gateway/metrics_page.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.h"
#include "gateway/serving_state.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// The capacity estimate of each upstream.
std::string CapacityText(const UpstreamRegistry& upstreams, Millis now) {
  std::string slowdowns;
  std::string limits;
  for (const auto& [id, upstream] : upstreams.all()) {
    std::string label;
    for (char c : id.str()) {
      label += c == '"' || c == '\\' ? "\\" : "";
      label += c;
    }
    const CapacityEstimate& capacity = upstream->capacity;
    slowdowns += fmt::format(
        "bilberrypitch_upstream_slowdown{{upstream=\"{}\"}} {:.2f}\n", label,
        capacity.Slowdown(now));
    limits += fmt::format(
        "bilberrypitch_upstream_concurrency_limit{{upstream=\"{}\"}} {:.1f}\n",
        label, capacity.ConcurrencyLimit(upstream->entry.slots));
  }
  return slowdowns + limits;
}

}  // namespace

std::string FormatMetrics(const ServingState& state,
                          const InstanceMetrics& metrics) {
  const RequestCounters& counters = state.counters;
  std::string text;
  auto add = [&text](const char* name, auto value) {
    text += fmt::format("bilberrypitch_{} {}\n", name, value);
  };
  add("requests_received_total", counters.received);
  add("requests_answered_total", counters.answered);
  add("requests_refused_total", counters.refused);
  add("requests_failed_total", counters.failed);
  add("requests_caller_left_total", counters.caller_left);
  add("requests_rate_limited_total", counters.rate_limited);
  add("request_repeats_total", counters.retries);
  add("adapter_waits_total", counters.adapter_waits);
  add("adapter_misses_total", counters.adapter_misses);
  add("reading_waits_total", counters.prefill_waits);
  add("prompt_part_quarantined_total", counters.part_quarantined);
  add("relayed_total", counters.relayed);
  add("refused_without_path_total", counters.refused_without_path);
  add("refused_all_full_total", counters.refused_all_full);
  add("refused_too_large_total", counters.refused_too_large);
  add("refused_zones_evacuated_total", counters.refused_evacuated);
  add("refused_all_leave_total", counters.refused_all_leave);
  add("refused_undecided_total", counters.refused_undecided);
  add("take_ups_refused_total", counters.take_ups_refused);
  add("prompt_parts_quarantined",
      state.part_crash_tracker.Quarantined().size());
  add("zones_evacuated", state.evacuations.size());
  add("upstreams_cold",
      std::count_if(state.upstreams.all().begin(), state.upstreams.all().end(),
                    [](const auto& entry) { return entry.second->IsCold(); }));
  for (size_t i = 1; i < counters.response_faults.size(); ++i) {
    text += fmt::format(
        "bilberrypitch_responses_refused_total{{fault=\"{}\"}} {}\n",
        NameOf(static_cast<ResponseFault>(i)), counters.response_faults[i]);
  }
  text += CapacityText(state.upstreams, EventLoop::Now());
  add("orders_total", metrics.orders);
  add("reports_total", metrics.reports);
  add("upstream_connections_total", metrics.upstream_connections);
  add("requests_open", metrics.open_requests);
  add("peers", metrics.peers);
  add("body_bytes_held", metrics.body_bytes_held);
  add("response_bytes_held", metrics.response_bytes_held);
  add("calls_ended_for_memory_total", metrics.calls_ended_for_memory);
  add("caller_connections", metrics.caller_connections);
  for (size_t i = 0; i < metrics.connections_ended.size(); ++i) {
    text += fmt::format(
        "bilberrypitch_connections_ended_total{{cause=\"{}\"}} {}\n",
        NameOf(static_cast<EndCause>(i)), metrics.connections_ended[i]);
  }
  add("knowledge_age_ms", metrics.store_view_age_ms);
  add("config_version", state.config != nullptr ? state.config->version() : 0);
  add("log_lines_dropped_total", DroppedLogLines());
  text += state.first_event_latency.ToPrometheusText(
      "bilberrypitch_first_event_seconds");
  text +=
      state.response_latency.ToPrometheusText("bilberrypitch_answer_seconds");
  text += state.max_event_gap.ToPrometheusText(
      "bilberrypitch_longest_pause_seconds");
  text += state.adapter_wait_time.ToPrometheusText(
      "bilberrypitch_adapter_wait_seconds");
  return text;
}

}  // namespace bilberrypitch
