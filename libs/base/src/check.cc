// Ends the process at a broken invariant.
#include "base/check.h"

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>

namespace bilberrypitch {

void CheckFailed(const char* file, int line, const char* condition,
                 std::string_view message) {
  fmt::print(stderr, "check: {}:{}: {} does not hold: {}\n", file, line,
             condition, message);
  std::fflush(stderr);
  std::abort();
}

}  // namespace bilberrypitch
