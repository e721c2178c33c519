// Runs an entry instance on the users' platform.
#pragma once

#include <string>

namespace bilberrypitch {

// Where the settings file of the platform is: `path` if given, else what the
// environment names, else the usual place.
std::string BootFilePath(const std::string& path);
// Checks the file; prints each error. Returns the exit code.
int CheckBootFile(const std::string& path);
// Serves until SIGTERM or SIGINT. Returns the exit code.
int ServeOnPlatform(const std::string& path);

}  // namespace bilberrypitch
