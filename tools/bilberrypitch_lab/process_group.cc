// Starts, signals and ends processes.
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

// Below the range from which connections get their ports.
constexpr uint16_t kFirstPort = 12000;
constexpr uint16_t kPortRange = 18000;
// When it is set, folders with logs stay.
constexpr char kKeepVariable[] = "BP_LAB_KEEP";
constexpr int kStopMs = 30000;
constexpr std::chrono::milliseconds kPoll{20};

std::string MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "bp-lab-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

// A lock that is held until this process ends, so that programs beside each
// other don't take the same port between looking and binding; -1: is taken.
int LockPort(uint16_t port) {
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() / "bp-lab-ports";
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  std::string path = (folder / std::to_string(port)).string();
  int it = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  if (it >= 0 && flock(it, LOCK_EX | LOCK_NB) != 0) {
    close(it);
    it = -1;
  }
  return it;
}

bool PortIsFree(uint16_t port) {
  int it = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool free =
      bind(it, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(it);
  return free;
}

}  // namespace

// Groups that run beside each other begin at different ports.
ProcessGroup::ProcessGroup()
    : folder_(MakeFolder()),
      next_port_(
          static_cast<uint16_t>(kFirstPort + (getpid() * 97) % kPortRange)) {}

ProcessGroup::~ProcessGroup() {
  for (int it : port_locks_) {
    close(it);
  }
  for (auto& [name, it] : processes_) {
    if (it.running) {
      kill(it.pid, SIGCONT);
      kill(it.pid, SIGKILL);
      waitpid(it.pid, nullptr, 0);
    }
  }
  if (std::getenv(kKeepVariable) != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

uint16_t ProcessGroup::FreePort() {
  while (true) {
    ++next_port_;
    if (next_port_ >= kFirstPort + kPortRange) {
      next_port_ = kFirstPort;
    }
    int lock = LockPort(next_port_);
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
  return folder_ + "/" + name + ".log";
}

void ProcessGroup::Spawn(const std::string& name) {
  Process& process = processes_.at(name);
  std::vector<char*> words;
  words.reserve(process.words.size() + 1);
  for (std::string& it : process.words) {
    words.push_back(it.data());
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (int stream : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&actions, stream, LogPath(name).c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  int failed = posix_spawn(&process.pid, words[0], &actions, nullptr,
                           words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("can't start " + process.words[0]);
  }
  process.running = true;
}

void ProcessGroup::Start(const std::string& name,
                         std::vector<std::string> words) {
  processes_[name].words = std::move(words);
  Spawn(name);
}

void ProcessGroup::Restart(const std::string& name) { Spawn(name); }

void ProcessGroup::Kill(const std::string& name) {
  Process& it = processes_.at(name);
  if (!it.running) {
    return;
  }
  kill(it.pid, SIGKILL);
  waitpid(it.pid, nullptr, 0);
  it.running = false;
}

void ProcessGroup::Freeze(const std::string& name) {
  kill(processes_.at(name).pid, SIGSTOP);
}

void ProcessGroup::Thaw(const std::string& name) {
  kill(processes_.at(name).pid, SIGCONT);
}

int ProcessGroup::Terminate(const std::string& name) {
  Process& it = processes_.at(name);
  kill(it.pid, SIGTERM);
  int status = 0;
  bool ended = WaitFor(
      kStopMs, [&] { return waitpid(it.pid, &status, WNOHANG) == it.pid; });
  if (!ended) {
    Kill(name);
    return -1;
  }
  it.running = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ProcessGroup::Alive(const std::string& name) {
  Process& it = processes_.at(name);
  if (it.running && waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
    it.running = false;
  }
  return it.running;
}

std::string ProcessGroup::Log(const std::string& name) const {
  std::ifstream in(LogPath(name));
  return {std::istreambuf_iterator<char>(in), {}};
}

bool ProcessGroup::WaitFor(int ms, const std::function<bool()>& done) {
  auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace bilberrypitch::lab
