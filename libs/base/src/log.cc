// Writes log lines.
#include "base/log.h"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace bilberrypitch {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning",
                                                    "error"};
std::atomic<LogLevel> threshold = LogLevel::kInfo;
std::mutex output_lock;

}  // namespace

void SetLogLevel(LogLevel level) { threshold = level; }

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) {
      *level = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

void LogLine(LogLevel level, std::string_view part, std::string_view text) {
  if (level < threshold.load()) {
    return;
  }
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      fmt::format("{:%FT%T}Z {} {}: {}\n", now,
                  kNames[static_cast<size_t>(level)], part, text);
  std::lock_guard lock(output_lock);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace bilberrypitch
