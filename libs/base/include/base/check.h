// Preconditions and invariants that are asserted in every build.
#pragma once

#include <string_view>

namespace bilberrypitch {

// Prints the broken condition to standard error and ends the process.
[[noreturn]] void CheckFailed(const char* file, int line, const char* condition,
                              std::string_view message);

}  // namespace bilberrypitch

#define BP_CHECK(condition, message)                                         \
  do {                                                                       \
    if (!(condition)) {                                                      \
      ::bilberrypitch::CheckFailed(__FILE__, __LINE__, #condition, message); \
    }                                                                        \
  } while (false)
