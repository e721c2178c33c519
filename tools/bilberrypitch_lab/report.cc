// Reports.
#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace bilberrypitch::lab {
namespace {

constexpr int kWidth = 900;
constexpr int kPanelHeight = 190;
constexpr int kLeft = 60;
constexpr int kPlotHeight = 110;

struct Panel {
  std::string title;
  std::function<double(const ReportRow&)> value;
};

// Bars of one measure, two colours for the two policies.
std::string DrawPanel(const Panel& panel, const std::vector<ReportRow>& rows,
                      int top) {
  double most = 1e-9;
  for (const ReportRow& it : rows) most = std::max(most, panel.value(it));
  std::string out =
      fmt::format("<text x='{}' y='{}' font-size='14'>{}</text>\n", kLeft,
                  top + 16, panel.title);
  double width =
      static_cast<double>(kWidth - kLeft) / static_cast<double>(rows.size());
  int base = top + 30 + kPlotHeight;
  for (size_t i = 0; i < rows.size(); ++i) {
    double value = panel.value(rows[i]);
    double height = value / most * kPlotHeight;
    double x = kLeft + width * static_cast<double>(i);
    bool standard = rows[i].policy == "standard";
    out += fmt::format(
        "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' "
        "fill='{}'/>\n<text x='{:.1f}' y='{:.1f}' "
        "font-size='9'>{:.3g}</text>\n",
        x, base - height, width * 0.8, height, standard ? "#2a6f97" : "#c9a227",
        x, base - height - 3, value);
    if (standard) {
      out += fmt::format("<text x='{:.1f}' y='{}' font-size='10'>{}</text>\n",
                         x - width, base + 14, rows[i].scenario);
    }
  }
  return out;
}

}  // namespace

TrialCounts TrialCounts::operator-(const TrialCounts& it) const {
  TrialCounts out = *this;
  // An engine that restarted counts anew.
  auto less = [](int64_t a, int64_t b) { return std::max<int64_t>(0, a - b); };
  out.tokens = less(tokens, it.tokens);
  out.steps = less(steps, it.steps);
  out.filled_slots = less(filled_slots, it.filled_slots);
  out.adapters_in_batches = less(adapters_in_batches, it.adapters_in_batches);
  out.loads = less(loads, it.loads);
  out.stall_seconds = std::max(0.0, stall_seconds - it.stall_seconds);
  out.stall_count = std::max(0.0, stall_count - it.stall_count);
  out.processor_s = std::max(0.0, processor_s - it.processor_s);
  out.peer_bytes = std::max(0.0, peer_bytes - it.peer_bytes);
  out.store_calls = std::max(0.0, store_calls - it.store_calls);
  return out;
}

void Report::Add(const std::string& scenario, const std::string& policy,
                 const TrialResult& result) {
  ReportRow row;
  row.scenario = scenario;
  row.policy = policy;
  const TrialCounts& counts = result.counts;
  row.mean_stall_s =
      counts.stall_count > 0 ? counts.stall_seconds / counts.stall_count : 0;
  if (counts.steps > 0) {
    auto steps = static_cast<double>(counts.steps);
    row.batch_fill = static_cast<double>(counts.filled_slots) /
                     (steps * static_cast<double>(counts.batch_slots));
    row.adapters_in_batch =
        static_cast<double>(counts.adapters_in_batches) / steps;
  }
  std::vector<double> p95;
  row.worst_answered = 1;
  int64_t inside = 0;
  int64_t wrongful = 0;
  for (const auto& [name, it] : result.outcomes) {
    row.sent += it.sent;
    row.answered += it.answered;
    row.refused += it.refused;
    row.failed += it.failed;
    inside += it.inside_rate;
    wrongful += it.refused_inside_rate;
    for (const auto& [kind, n] : it.kinds) row.kinds[kind] += n;
    p95.push_back(Percentile(it.first_token_s, 0.95));
    if (it.inside_rate > 0) {
      double answered = static_cast<double>(it.answered) /
                        static_cast<double>(it.inside_rate);
      row.worst_answered = std::min(row.worst_answered, answered);
    }
  }
  row.worst_p95_s = *std::max_element(p95.begin(), p95.end());
  row.median_p95_s = Percentile(p95, 0.5);
  row.wrongful_per_1000 = inside == 0 ? 0
                                      : 1000.0 * static_cast<double>(wrongful) /
                                            static_cast<double>(inside);
  row.loads = counts.loads;
  row.broken_invariants =
      counts.evicted_while_serving + counts.credentials_seen;
  rows_.push_back(row);
}

std::string Report::LastLine() const {
  const ReportRow& it = rows_.back();
  std::string kinds;
  for (const auto& [kind, n] : it.kinds) {
    kinds += fmt::format(" {}={}", kind, n);
  }
  return fmt::format(
      "{} {} {}: stall {:.3f} s, worst p95 {:.2f} s, median p95 {:.2f} s, "
      "worst "
      "answered {:.3f}, wrongful {:.2f}/1000, fill {:.3f}, adapters {:.2f}, "
      "sent {}, answered {}, failed {}, loads {}, broken {}{}",
      name_, it.scenario, it.policy, it.mean_stall_s, it.worst_p95_s,
      it.median_p95_s, it.worst_answered, it.wrongful_per_1000, it.batch_fill,
      it.adapters_in_batch, it.sent, it.answered, it.failed, it.loads,
      it.broken_invariants, kinds);
}

int64_t Report::broken_invariants() const {
  int64_t n = 0;
  for (const ReportRow& it : rows_) n += it.broken_invariants;
  return n;
}

std::string Report::Json() const {
  json::array rows;
  for (const ReportRow& it : rows_) {
    json::object kinds;
    for (const auto& [kind, n] : it.kinds) kinds[kind] = n;
    rows.push_back({{"scenario", it.scenario},
                    {"policy", it.policy},
                    {"mean_load_stall_s", it.mean_stall_s},
                    {"batch_fill", it.batch_fill},
                    {"adapters_in_batch", it.adapters_in_batch},
                    {"worst_workspace_p95_s", it.worst_p95_s},
                    {"median_workspace_p95_s", it.median_p95_s},
                    {"worst_workspace_answered", it.worst_answered},
                    {"wrongful_refusals_per_1000", it.wrongful_per_1000},
                    {"sent", it.sent},
                    {"answered", it.answered},
                    {"refused", it.refused},
                    {"failed", it.failed},
                    {"loads", it.loads},
                    {"broken_invariants", it.broken_invariants},
                    {"kinds", std::move(kinds)}});
  }
  return json::serialize(
      json::object{{"experiment", name_}, {"rows", std::move(rows)}});
}

std::string Report::Svg() const {
  const std::vector<Panel> panels = {
      {"mean load stall (s)", [](const auto& it) { return it.mean_stall_s; }},
      {"first token, worst workspace, p95 (s)",
       [](const auto& it) { return it.worst_p95_s; }},
      {"refused inside the rate, of 1000",
       [](const auto& it) { return it.wrongful_per_1000; }},
      {"filled part of the batch",
       [](const auto& it) { return it.batch_fill; }}};
  int height = kPanelHeight * static_cast<int>(panels.size()) + 40;
  std::string out = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif'>\n<rect width='100%' height='100%' "
      "fill='white'/>\n<text x='{}' y='20' font-size='16'>{}: baseline "
      "(yellow) "
      "and standard (blue)</text>\n",
      kWidth, height, kLeft, name_);
  int top = 36;
  for (const Panel& panel : panels) {
    out += DrawPanel(panel, rows_, top);
    top += kPanelHeight;
  }
  return out + "</svg>\n";
}

}  // namespace bilberrypitch::lab
