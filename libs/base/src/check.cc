// Implements the abort for failed checks.
#include "base/check.h"

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>

namespace bilberrypitch {

void CheckFailed(const char* file, int line, const char* condition,
                 std::string_view message) {
  fmt::print(stderr, "check: {}:{}: Condition failed: {}: {}\n", file, line,
             condition, message);
  std::fflush(stderr);
  std::abort();
}

}  // namespace bilberrypitch
