// Feeds a trace through the decision libraries and compares the outcomes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

struct ReplayResult {
  std::string name;
  std::string property;
  size_t steps = 0;
  // One line for each step whose outcome differs, or for a bad trace.
  std::vector<std::string> mismatches;
};

// `text` is the JSON of a schema::Trace.
ReplayResult ReplayTrace(std::string_view text);

}  // namespace bilberrypitch
