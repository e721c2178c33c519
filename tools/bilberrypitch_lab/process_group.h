// Starts, signals and ends the child processes of a test or a demonstration. It
// only signals processes that it started, by their process ids.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberrypitch::lab {

// Keeps the logs in a temporary directory. Not thread-safe. The destructor
// kills processes that are still running and removes the directory, unless
// BP_LAB_KEEP is set in the environment.
class ProcessGroup {
 public:
  ProcessGroup();
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // Starts a process; args[0] is the path of the program. Its output is
  // appended to a log in the directory. Throws std::runtime_error on failure.
  void Start(const std::string& name, std::vector<std::string> args);
  // Starts a process again after it has ended, with the same arguments.
  void Restart(const std::string& name);
  // Sends SIGKILL and waits for the end.
  void Kill(const std::string& name);
  // Sends SIGSTOP.
  void Suspend(const std::string& name);
  // Sends SIGCONT.
  void Resume(const std::string& name);
  // Sends SIGTERM and returns the exit code, or -1 when the process was ended
  // by a signal or had to be killed.
  int Terminate(const std::string& name);
  bool IsRunning(const std::string& name);
  pid_t PidOf(const std::string& name) const { return processes_.at(name).pid; }

  std::string ReadLog(const std::string& name) const;
  const std::string& directory() const { return directory_; }
  // Returns a TCP port that is free on the loopback address and locks it
  // against other process groups until this one is destroyed.
  uint16_t ReservePort();

  // Checks `condition` every 20 ms. Returns false when it was not true within
  // `timeout_ms`.
  static bool WaitUntil(int timeout_ms, const std::function<bool()>& condition);

 private:
  struct Process {
    std::vector<std::string> args;
    pid_t pid = 0;
    bool running = false;
  };

  void SpawnProcess(const std::string& name);
  std::string LogPath(const std::string& name) const;

  const std::string directory_;
  uint16_t next_port_;
  std::vector<int> port_locks_;  // Locked files, one for each reserved port.
  std::map<std::string, Process> processes_;
};

}  // namespace bilberrypitch::lab
