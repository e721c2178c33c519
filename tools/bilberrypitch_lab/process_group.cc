// Implements ProcessGroup with posix_spawn and signals.
#include "process_group.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace bilberrypitch::lab {
namespace {

// Below the range of ephemeral ports, which outgoing connections use.
constexpr uint16_t kFirstPort = 12000;
constexpr uint16_t kPortRange = 18000;
// When this variable is set, the directory with the logs is kept.
constexpr char kKeepDirectoryVariable[] = "BP_LAB_KEEP";
constexpr int kStopTimeoutMs = 30000;
constexpr std::chrono::milliseconds kPollInterval{20};

std::string CreateTempDirectory() {
  std::string path =
      (std::filesystem::temp_directory_path() / "bp-lab-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("can't create a temporary directory");
  }
  return path;
}

// Locks the port and returns the file descriptor that holds the lock until it
// is closed, or -1 when the port is locked already or the lock file can't be
// opened. The lock prevents programs that run at the same time from choosing
// the same port between the check and bind().
int TryLockPort(uint16_t port) {
  std::filesystem::path directory =
      std::filesystem::temp_directory_path() / "bp-lab-ports";
  std::error_code ignored;
  std::filesystem::create_directories(directory, ignored);
  std::string path = (directory / std::to_string(port)).string();
  int lock = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  if (lock >= 0 && flock(lock, LOCK_EX | LOCK_NB) != 0) {
    close(lock);
    lock = -1;
  }
  return lock;
}

bool PortIsFree(uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

}  // namespace

// The first port depends on the process id, so that groups that run at the same
// time start at different ports.
ProcessGroup::ProcessGroup()
    : directory_(CreateTempDirectory()),
      next_port_(
          static_cast<uint16_t>(kFirstPort + (getpid() * 97) % kPortRange)) {}

ProcessGroup::~ProcessGroup() {
  for (int lock : port_locks_) {
    close(lock);
  }
  for (auto& [name, process] : processes_) {
    if (process.running) {
      kill(process.pid, SIGCONT);
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  if (std::getenv(kKeepDirectoryVariable) != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

uint16_t ProcessGroup::ReservePort() {
  while (true) {
    ++next_port_;
    if (next_port_ >= kFirstPort + kPortRange) {
      next_port_ = kFirstPort;
    }
    int lock = TryLockPort(next_port_);
    if (lock < 0) {
      continue;
    }
    if (PortIsFree(next_port_)) {
      port_locks_.push_back(lock);
      return next_port_;
    }
    close(lock);
  }
}

std::string ProcessGroup::LogPath(const std::string& name) const {
  return directory_ + "/" + name + ".log";
}

void ProcessGroup::SpawnProcess(const std::string& name) {
  Process& process = processes_.at(name);
  std::vector<char*> args;
  args.reserve(process.args.size() + 1);
  for (std::string& arg : process.args) {
    args.push_back(arg.data());
  }
  args.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (int stream : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&actions, stream, LogPath(name).c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  int spawn_error = posix_spawn(&process.pid, args[0], &actions, nullptr,
                                args.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (spawn_error != 0) {
    throw std::runtime_error("can't start " + process.args[0]);
  }
  process.running = true;
}

void ProcessGroup::Start(const std::string& name,
                         std::vector<std::string> args) {
  processes_[name].args = std::move(args);
  SpawnProcess(name);
}

void ProcessGroup::Restart(const std::string& name) { SpawnProcess(name); }

void ProcessGroup::Kill(const std::string& name) {
  Process& process = processes_.at(name);
  if (!process.running) {
    return;
  }
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.running = false;
}

void ProcessGroup::Suspend(const std::string& name) {
  kill(processes_.at(name).pid, SIGSTOP);
}

void ProcessGroup::Resume(const std::string& name) {
  kill(processes_.at(name).pid, SIGCONT);
}

int ProcessGroup::Terminate(const std::string& name) {
  Process& process = processes_.at(name);
  kill(process.pid, SIGTERM);
  int status = 0;
  bool ended = WaitUntil(kStopTimeoutMs, [&] {
    return waitpid(process.pid, &status, WNOHANG) == process.pid;
  });
  if (!ended) {
    Kill(name);
    return -1;
  }
  process.running = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ProcessGroup::IsRunning(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.running &&
      waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
    process.running = false;
  }
  return process.running;
}

std::string ProcessGroup::ReadLog(const std::string& name) const {
  std::ifstream in(LogPath(name));
  return {std::istreambuf_iterator<char>(in), {}};
}

bool ProcessGroup::WaitUntil(int timeout_ms,
                             const std::function<bool()>& condition) {
  auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace bilberrypitch::lab
