// The program's own settings file.
#pragma once

#include <string>

namespace bilberrypitch {

namespace schema {
class Settings;
}

// Prints all errors and returns false when the file doesn't hold valid
// settings. An empty path stands for none: all fields are absent.
bool ReadSettingsFile(const std::string& path, schema::Settings* settings);

}  // namespace bilberrypitch
