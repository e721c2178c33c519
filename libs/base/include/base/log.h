// Logging to standard output. Each line has a time, a level, the component that
// logs it, and one short sentence, followed by searchable values as name=value.
//
// A background thread writes the lines. When the reader of standard output
// stalls, lines are dropped and counted, but the caller is never blocked.
#pragma once

#include <fmt/core.h>

#include <string_view>

namespace bilberrypitch {

// In the order of severity.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sets the lowest level that is logged. Thread-safe.
void SetLogLevel(LogLevel level);
// Returns false when `name` is none of debug, info, warning and error.
bool ParseLogLevel(std::string_view name, LogLevel* level);
// Queues a line. Thread-safe; does not wait for the output. A line is queued
// completely or dropped.
void LogLine(LogLevel level, std::string_view component, std::string_view text);

// The number of lines dropped since the start because the queue was full.
uint64_t DroppedLogLines();

// Formats and logs a line with the level info.
template <typename... Args>
void LogInfo(std::string_view component, fmt::format_string<Args...> format,
             Args&&... args) {
  LogLine(LogLevel::kInfo, component,
          fmt::format(format, std::forward<Args>(args)...));
}

// Formats and logs a line with the level warning.
template <typename... Args>
void LogWarning(std::string_view component, fmt::format_string<Args...> format,
                Args&&... args) {
  LogLine(LogLevel::kWarning, component,
          fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace bilberrypitch
