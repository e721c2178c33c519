// Runs an instance on the platform.
#pragma once

#include <string>

namespace bilberrypitch {

// Paths of the files that configure an instance.
struct SettingsPaths {
  std::string boot_file;      // Empty: from the environment or default.
  std::string settings_file;  // Empty: no settings file.
};

// Prints all errors of the boot file at `path`. Returns true if there are none.
bool CheckBootFile(const std::string& path);

// Serves until SIGTERM or SIGINT. Returns the exit code of the process.
int ServeOnPlatform(const SettingsPaths& paths);

}  // namespace bilberrypitch
