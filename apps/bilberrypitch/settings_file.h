// Reads the program's settings file (JSON).
#pragma once

#include <string>

namespace bilberrypitch {

namespace schema {
class Settings;
}

// Prints all errors and returns false when the file doesn't hold valid
// settings. An empty path means that there is no file: all fields stay absent.
bool ReadSettingsFile(const std::string& path, schema::Settings* settings);

}  // namespace bilberrypitch
