// Text of the metrics page.
#include "gateway/metrics_page.h"

#include <fmt/format.h>

#include "base/log.h"
#include "gateway/serving_state.h"

namespace bilberrypitch {

std::string FormatMetrics(const ServingState& state,
                          const InstanceMetrics& facts) {
  const RequestCounters& it = state.counters;
  std::string text;
  auto add = [&text](const char* name, auto value) {
    text += fmt::format("bilberrypitch_{} {}\n", name, value);
  };
  add("requests_received_total", it.received);
  add("requests_answered_total", it.answered);
  add("requests_refused_total", it.refused);
  add("requests_failed_total", it.failed);
  add("requests_caller_left_total", it.caller_left);
  add("requests_rate_limited_total", it.rate_limited);
  add("request_repeats_total", it.retries);
  add("adapter_waits_total", it.adapter_waits);
  add("adapter_misses_total", it.adapter_misses);
  add("reading_waits_total", it.prefill_waits);
  add("orders_total", facts.orders);
  add("reports_total", facts.reports);
  add("upstream_connections_total", facts.upstream_connections);
  add("requests_open", facts.open_requests);
  add("peers", facts.peers);
  add("knowledge_age_ms", facts.knowledge_age_ms);
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
