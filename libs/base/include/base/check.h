// Checks of preconditions and invariants, enabled in every build.
#pragma once

#include <string_view>

namespace bilberrypitch {

// Prints the failed condition and `message` to standard error and aborts the
// process.
[[noreturn]] void CheckFailed(const char* file, int line, const char* condition,
                              std::string_view message);

}  // namespace bilberrypitch

// Aborts the process when `condition` is false. `message` states what is
// required or what failed.
#define BP_CHECK(condition, message)                                         \
  do {                                                                       \
    if (!(condition)) {                                                      \
      ::bilberrypitch::CheckFailed(__FILE__, __LINE__, #condition, message); \
    }                                                                        \
  } while (false)
