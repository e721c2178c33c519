// Writes log lines: a bounded queue, emptied by a thread of its own.
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

constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning",
                                                    "error"};
constexpr size_t kQueuedBytes = 512 << 10;
// Between two writes, so that lines are written together.
constexpr std::chrono::milliseconds kPause{50};

std::atomic<LogLevel> threshold = LogLevel::kInfo;

class Writer {
 public:
  Writer() : thread_([this] { Loop(); }) {}

  ~Writer() {
    {
      std::lock_guard lock(lock_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  void Add(std::string_view line) {
    std::lock_guard lock(lock_);
    if (queued_.size() + line.size() > kQueuedBytes) {
      ++dropped_;
      return;
    }
    bool wake = queued_.empty();
    queued_.append(line);
    if (wake) {
      wake_.notify_one();
    }
  }

  uint64_t dropped() {
    std::lock_guard lock(lock_);
    return dropped_;
  }

 private:
  void Loop() {
    std::string taken;
    std::unique_lock lock(lock_);
    while (!stopping_ || !queued_.empty()) {
      wake_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      taken.swap(queued_);
      uint64_t dropped = dropped_ - reported_;
      reported_ = dropped_;
      bool stopping = stopping_;
      lock.unlock();
      if (dropped > 0) {
        taken += fmt::format("log: {} lines were dropped.\n", dropped);
      }
      Write(taken);
      taken.clear();
      if (!stopping) {
        std::this_thread::sleep_for(kPause);
      }
      lock.lock();
    }
  }

  static void Write(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t n = write(STDOUT_FILENO, bytes.data(), bytes.size());
      if (n <= 0) {
        return;  // Nobody reads any more: there is nowhere to say so.
      }
      bytes.remove_prefix(static_cast<size_t>(n));
    }
  }

  std::mutex lock_;  // Guards all below but the thread.
  std::condition_variable wake_;
  std::string queued_;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;  // Of `dropped_`.
  bool stopping_ = false;
  std::thread thread_;
};

Writer& TheWriter() {
  static Writer writer;
  return writer;
}

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
  auto second = std::chrono::floor<std::chrono::seconds>(now);
  TheWriter().Add(fmt::format("{:%FT%T}.{:03}Z {} {}: {}\n", second,
                              (now - second).count(),
                              kNames[static_cast<size_t>(level)], part, text));
}

uint64_t DroppedLogLines() { return TheWriter().dropped(); }

}  // namespace bilberrypitch
