// Logs: one short sentence a line on standard output, with level and the prefix
// of the part that speaks; what a reader will search for follows as name=value.
//
// A thread of its own writes. A reader that stalls costs lines, which are
// counted, and never blocks the caller.
#pragma once

#include <fmt/core.h>

#include <string_view>

namespace bilberrypitch {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

void SetLogLevel(LogLevel level);
// False when `name` is none of debug, info, warning and error.
bool ParseLogLevel(std::string_view name, LogLevel* level);
// Thread-safe and non-blocking; a line is written whole or not at all.
void LogLine(LogLevel level, std::string_view part, std::string_view text);

// Lines that found the queue full since the start.
uint64_t DroppedLogLines();

template <typename... Args>
void LogInfo(std::string_view part, fmt::format_string<Args...> format,
             Args&&... args) {
  LogLine(LogLevel::kInfo, part,
          fmt::format(format, std::forward<Args>(args)...));
}

template <typename... Args>
void LogWarning(std::string_view part, fmt::format_string<Args...> format,
                Args&&... args) {
  LogLine(LogLevel::kWarning, part,
          fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace bilberrypitch
