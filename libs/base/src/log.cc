// Implements the log with a bounded queue and a background thread that writes
// it.
#include "base/log.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace bilberrypitch {
namespace {

// Indexed by LogLevel.
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr size_t kMaxQueuedBytes = 512 << 10;
// Time between two writes, so that several lines are written at once.
constexpr std::chrono::milliseconds kWriteInterval{50};

std::atomic<LogLevel> min_level = LogLevel::kInfo;

// Owns the queue and the writing thread. The destructor writes the queued
// lines.
class LogWriter {
 public:
  LogWriter() : thread_([this] { RunThread(); }) {}

  ~LogWriter() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  void Add(std::string_view line) {
    std::lock_guard lock(mutex_);
    if (queued_.size() + line.size() > kMaxQueuedBytes) {
      ++dropped_;
      return;
    }
    bool was_empty = queued_.empty();
    queued_.append(line);
    if (was_empty) {
      wake_.notify_one();
    }
  }

  uint64_t dropped() {
    std::lock_guard lock(mutex_);
    return dropped_;
  }

 private:
  void RunThread() {
    std::string batch;
    std::unique_lock lock(mutex_);
    while (!stopping_ || !queued_.empty()) {
      wake_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      batch.swap(queued_);
      uint64_t dropped = dropped_ - reported_dropped_;
      reported_dropped_ = dropped_;
      bool stopping = stopping_;
      lock.unlock();
      if (dropped > 0) {
        batch += fmt::format(
            "log: Dropped {} lines because the queue was full.\n", dropped);
      }
      Write(batch);
      batch.clear();
      if (!stopping) {
        std::this_thread::sleep_for(kWriteInterval);
      }
      lock.lock();
    }
  }

  static void Write(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
      if (written <= 0) {
        return;  // Standard output is closed, so the failure can't be logged.
      }
      bytes.remove_prefix(static_cast<size_t>(written));
    }
  }

  std::mutex mutex_;  // Guards the members below, except `thread_`.
  std::condition_variable wake_;
  std::string queued_;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;  // The part of `dropped_` already logged.
  bool stopping_ = false;
  std::thread thread_;
};

LogWriter& GlobalWriter() {
  static LogWriter writer;
  return writer;
}

}  // namespace

void SetLogLevel(LogLevel level) { min_level = level; }

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) {
      *level = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

void LogLine(LogLevel level, std::string_view component,
             std::string_view text) {
  if (level < min_level.load()) {
    return;
  }
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  auto second = std::chrono::floor<std::chrono::seconds>(now);
  GlobalWriter().Add(
      fmt::format("{:%FT%T}.{:03}Z {} {}: {}\n", second, (now - second).count(),
                  kLevelNames[static_cast<size_t>(level)], component, text));
}

uint64_t DroppedLogLines() { return GlobalWriter().dropped(); }

}  // namespace bilberrypitch
