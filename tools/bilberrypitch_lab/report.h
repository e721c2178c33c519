// The report of an experiment: a row for each scenario and policy, as JSON and
// as a plot.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "load_generator.h"

namespace bilberrypitch::lab {

// What engines and instances counted.
struct TrialCounts {
  int64_t tokens = 0;
  int64_t steps = 0;
  int64_t filled_slots = 0;
  int64_t adapters_in_batches = 0;
  int64_t batch_slots = 1;
  int64_t loads = 0;
  int64_t evicted_while_serving = 0;
  int64_t credentials_seen = 0;
  double stall_seconds = 0;
  double stall_count = 0;
  double processor_s = 0;
  double peer_bytes = 0;
  double store_calls = 0;

  TrialCounts operator-(const TrialCounts& it) const;
};

struct TrialResult {
  std::map<std::string, LoadOutcome> outcomes;  // By workspace.
  TrialCounts counts;
};

// One row of the table.
struct ReportRow {
  std::string scenario;
  std::string policy;
  double mean_stall_s = 0;
  double batch_fill = 0;  // Part of the slots filled in a step.
  double adapters_in_batch = 0;
  double worst_p95_s = 0;  // First token, worst workspace.
  double median_p95_s = 0;
  double worst_answered = 0;     // Least part answered of what was in rate.
  double wrongful_per_1000 = 0;  // Refused though inside the rate.
  int64_t sent = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  int64_t loads = 0;
  int64_t broken_invariants = 0;
  std::map<std::string, int64_t> kinds;
};

class Report {
 public:
  explicit Report(std::string name) : name_(std::move(name)) {}

  void Add(const std::string& scenario, const std::string& policy,
           const TrialResult& result);
  std::string LastLine() const;
  std::string Json() const;
  std::string Svg() const;
  int64_t broken_invariants() const;

 private:
  const std::string name_;
  std::vector<ReportRow> rows_;
};

}  // namespace bilberrypitch::lab
