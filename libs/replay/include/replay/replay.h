// Runs a trace through the decision code of libs/serving and compares the
// outcomes with the expected ones.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

struct ReplayResult {
  std::string name;      // Name of the trace.
  std::string property;  // The property that the trace checks.
  size_t steps = 0;      // Steps that were run.
  // One line for each step whose outcome is not the expected one, or for each
  // error in the trace file. Empty: the trace passed.
  std::vector<std::string> mismatches;
};

// Replays a trace; `text` is the JSON of a schema::Trace.
ReplayResult ReplayTrace(std::string_view text);

}  // namespace bilberrypitch
