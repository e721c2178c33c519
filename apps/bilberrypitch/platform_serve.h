// Runs an instance on the users' platform.
#pragma once

#include <string>

namespace bilberrypitch {

struct SettingsPaths {
  std::string boot_file;      // Empty: the environment names it.
  std::string settings_file;  // Empty: none.
};

// Prints what is wrong with the boot file; true when nothing is.
bool CheckBootFile(const std::string& path);

// Serves until SIGTERM; the exit code.
int ServeOnPlatform(const SettingsPaths& files);

}  // namespace bilberrypitch
