// The command `bilberrypitch route`.
#pragma once

#include <string>
#include <vector>

namespace bilberrypitch {

// Asks a running instance where a request would be sent now and prints its
// answer. Returns the exit code: 0, 1 if the instance does not answer or can't
// tell, 2 if `args` or the question are invalid.
int ExplainRoute(const std::vector<std::string>& args);

}  // namespace bilberrypitch
