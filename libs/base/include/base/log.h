// Logs: one short sentence a line on standard error, with level and the prefix
// of the part that speaks.
#pragma once

#include <fmt/core.h>

#include <string_view>

namespace bilberrypitch {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

void SetLogLevel(LogLevel level);
// False when `name` is none of debug, info, warning and error.
bool ParseLogLevel(std::string_view name, LogLevel* level);
// Thread-safe; a line is written whole.
void LogLine(LogLevel level, std::string_view part, std::string_view text);

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
