// The settings of one process, checked, with defaults filled in.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "schema/json_reader.h"

namespace bilberrypitch {

namespace schema {
class Settings;
}

inline constexpr char kStandardPolicy[] = "standard";
inline constexpr char kBaselinePolicy[] = "baseline";

// Reads and checks the JSON text of a settings file and fills in defaults.
// Returns all errors.
std::vector<FieldError> ReadSettings(std::string_view text,
                                     schema::Settings* settings);

}  // namespace bilberrypitch
