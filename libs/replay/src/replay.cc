// Implements the replay of traces.
#include "replay/replay.h"

#include <fmt/format.h>

#include "schema/json_reader.h"
#include "schema/trace.pb.h"
#include "trace_actions.h"

namespace bilberrypitch {
namespace {

std::string FormatOutcome(const TraceOutcome& outcome) {
  std::string text;
  for (const std::string& value : outcome) {
    text += (text.empty() ? "" : ", ") + value;
  }
  return "[" + text + "]";
}

}  // namespace

std::optional<TraceOutcome> TraceActions::Run(const schema::TraceStep& step) {
  auto it = actions_.find(step.action());
  if (it == actions_.end()) {
    return std::nullopt;
  }
  return it->second(step);
}

ReplayResult ReplayTrace(std::string_view text) {
  ReplayResult result;
  schema::Trace trace;
  for (const FieldError& error : ReadJson(text, &trace)) {
    result.mismatches.push_back(error.path + ": " + error.message);
  }
  if (!result.mismatches.empty()) {
    return result;
  }
  result.name = trace.name();
  result.property = trace.point();
  std::vector<std::unique_ptr<TraceActions>> groups;
  groups.push_back(MakeClusterActions());
  groups.push_back(MakeEngineActions());
  groups.push_back(MakeRequestActions());
  for (const schema::TraceStep& step : trace.steps()) {
    ++result.steps;
    std::optional<TraceOutcome> outcome;
    for (const auto& group : groups) {
      outcome = outcome ? outcome : group->Run(step);
    }
    if (!outcome) {
      result.mismatches.push_back(fmt::format("step {}: unknown action `{}`",
                                              result.steps, step.action()));
      continue;
    }
    TraceOutcome expected(step.expect().begin(), step.expect().end());
    if (!expected.empty() && *outcome != expected) {
      result.mismatches.push_back(fmt::format(
          "step {} ({}): expected {}, got {}", result.steps, step.action(),
          FormatOutcome(expected), FormatOutcome(*outcome)));
    }
  }
  return result;
}

}  // namespace bilberrypitch
