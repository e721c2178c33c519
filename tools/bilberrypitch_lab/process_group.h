// Processes that a test or a demonstration started. It ends only these, by
// their ids.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberrypitch::lab {

// Not thread-safe. Its end kills what still runs and removes the folder, unless
// BP_LAB_KEEP is set in the environment.
class ProcessGroup {
 public:
  ProcessGroup();
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // Throws std::runtime_error when the program can't be started. Output goes
  // to a log in the folder.
  void Start(const std::string& name, std::vector<std::string> words);
  // Starts it again with the words that it had; it is not running.
  void Restart(const std::string& name);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  // SIGTERM; the exit code, or -1 when it had to be killed.
  int Terminate(const std::string& name);
  bool Alive(const std::string& name);

  std::string Log(const std::string& name) const;
  const std::string& folder() const { return folder_; }
  // A TCP port on the loopback address that is free now.
  uint16_t FreePort();

  // Looks every 20 ms; false when `done` was not true within `ms`.
  static bool WaitFor(int ms, const std::function<bool()>& done);

 private:
  struct Process {
    std::vector<std::string> words;
    pid_t pid = 0;
    bool running = false;
  };

  void Spawn(const std::string& name);
  std::string LogPath(const std::string& name) const;

  const std::string folder_;
  uint16_t next_port_;
  std::vector<int> port_locks_;  // Open files, one for each port given.
  std::map<std::string, Process> processes_;
};

}  // namespace bilberrypitch::lab
