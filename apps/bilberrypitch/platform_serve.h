// Runs an instance on the users' platform.
#pragma once

#include <string>

namespace bilberrypitch {

struct ServeFiles {
  std::string boot;      // Empty: the environment names it.
  std::string settings;  // Empty: none.
};

// Prints what is wrong with the boot file; true when nothing is.
bool CheckBootFile(const std::string& path);

// Serves until SIGTERM; the exit code.
int ServeOnPlatform(const ServeFiles& files);

}  // namespace bilberrypitch
