// Reads and validates the program's settings file.
#include "settings_file.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "base/log.h"
#include "schema/json_reader.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {

bool ReadSettingsFile(const std::string& path, schema::Settings* settings) {
  if (path.empty()) {
    return true;
  }
  std::ifstream stream(path);
  if (!stream) {
    fmt::print(stderr, "bilberrypitch: cannot read {}\n", path);
    return false;
  }
  std::string text(std::istreambuf_iterator<char>(stream), {});
  std::vector<FieldError> errors = ReadJson(text, settings);
  LogLevel level = LogLevel::kInfo;
  if (settings->has_log_level() &&
      !ParseLogLevel(settings->log_level(), &level)) {
    errors.push_back({"log_level", "must be debug, info, warning or error"});
  }
  for (const FieldError& error : errors) {
    fmt::print(stderr, "{}: {}: {}\n", path, error.path, error.message);
  }
  return errors.empty();
}

}  // namespace bilberrypitch
