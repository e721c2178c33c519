// Replay of traces.
#include "replay/replay.h"

#include <fmt/format.h>

#include "schema/json_reader.h"
#include "schema/trace.pb.h"
#include "trace_part.h"

namespace bilberrypitch {
namespace {

std::string Joined(const TraceOutcome& words) {
  std::string out;
  for (const std::string& it : words) {
    out += (out.empty() ? "" : ", ") + it;
  }
  return "[" + out + "]";
}

}  // namespace

std::optional<TraceOutcome> TracePart::Run(const schema::TraceStep& step) {
  auto it = actions_.find(step.action());
  if (it == actions_.end()) {
    return std::nullopt;
  }
  return it->second(step);
}

ReplayResult ReplayTrace(std::string_view text) {
  ReplayResult result;
  schema::Trace trace;
  for (const FieldError& it : ReadJson(text, &trace)) {
    result.mismatches.push_back(it.path + ": " + it.message);
  }
  if (!result.mismatches.empty()) {
    return result;
  }
  result.name = trace.name();
  result.property = trace.point();
  std::vector<std::unique_ptr<TracePart>> parts;
  parts.push_back(MakeClusterTracePart());
  parts.push_back(MakeEngineTracePart());
  parts.push_back(MakeRequestTracePart());
  for (const schema::TraceStep& step : trace.steps()) {
    ++result.steps;
    std::optional<TraceOutcome> outcome;
    for (const auto& part : parts) {
      outcome = outcome ? outcome : part->Run(step);
    }
    if (!outcome) {
      result.mismatches.push_back(
          fmt::format("step {}: no action `{}`", result.steps, step.action()));
      continue;
    }
    TraceOutcome expected(step.expect().begin(), step.expect().end());
    if (!expected.empty() && *outcome != expected) {
      result.mismatches.push_back(
          fmt::format("step {} ({}): expected {}, got {}", result.steps,
                      step.action(), Joined(expected), Joined(*outcome)));
    }
  }
  return result;
}

}  // namespace bilberrypitch
