// A small deployment: the project's own store stand-in and instances of the
// program, each a process of its own, started as the deploy file says.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace review {

// Writes lines with times to a file. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  const int64_t started_ms_;
  FILE* file_;
};

// Routes and tenants of the configuration, as JSON.
struct ConfigText {
  std::string routes;
  std::string services;
  std::string tenants;
};

class Fleet {
 public:
  // Ends all processes and removes the temporary folder when destroyed.
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  bool StartStore();
  // `zones`: all zones of the deployment. `arguments` follow the command of the
  // deploy file.
  void StartInstance(const std::string& name, const std::string& zone,
                     const std::vector<std::string>& zones,
                     const std::map<std::string, std::string>& settings = {},
                     const std::vector<std::string>& arguments = {});
  // Starts the process of an instance again, with the same settings.
  void RestartInstance(const std::string& name);
  bool WaitUntilReady(const std::string& name, int64_t timeout_ms);
  void WriteConfig(int64_t version, const ConfigText& config);
  void WriteItem(const std::string& key, const std::string& value,
                 int64_t ttl_ms);
  void RemoveItem(const std::string& key);

  uint16_t front_port(const std::string& name) { return fronts_.at(name); }
  uint16_t ready_port(const std::string& name) { return readies_.at(name); }
  uint16_t store_port() const { return store_port_; }
  pid_t pid(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Whether the process has ended; stores its wait status.
  bool HasEnded(const std::string& name, int* status);
  const std::string& folder() const { return folder_; }

 private:
  pid_t Start(const std::string& name, const std::vector<std::string>& args,
              const std::string& boot_file);

  std::string folder_;
  uint16_t store_port_ = 0;
  std::map<std::string, uint16_t> fronts_;
  std::map<std::string, uint16_t> readies_;
  std::mutex mutex_;  // Guards `pids_`.
  std::map<std::string, pid_t> pids_;
  std::map<std::string, std::string> boot_files_;
  std::map<std::string, std::vector<std::string>> arguments_;
};

// Whether the disruption is to happen: the variable TROUBLE is not "0".
bool HasTrouble();

}  // namespace review
