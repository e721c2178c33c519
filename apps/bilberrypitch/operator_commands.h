// The operator's commands: they speak to an instance's operators' port.
#pragma once

#include <string>
#include <vector>

namespace bilberrypitch {

// Runs `words` (for example {"key", "issue", ...}) and returns the exit code:
// 0 done, 1 refused or not reached, 2 wrong use.
int RunOperatorCommand(const std::vector<std::string>& words);

}  // namespace bilberrypitch
