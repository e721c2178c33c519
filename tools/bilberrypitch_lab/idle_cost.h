// What an instance spends on control while no requests come, in fleets of
// several sizes.
#pragma once

#include <string>

#include "deployment.h"

namespace bilberrypitch::lab {

// Prints a line for each size and writes OUT.json.
int MeasureIdle(const ProgramPaths& paths, const std::string& out);

}  // namespace bilberrypitch::lab
