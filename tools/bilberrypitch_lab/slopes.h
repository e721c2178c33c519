// Measures how state, time and message sizes of the decision libraries grow
// with adapters, upstreams, peers and workspaces. docs/CAPACITY.md stands on
// these slopes.
#pragma once

#include <string>

namespace bilberrypitch::lab {

// Prints a line for each measure and size, and writes OUT.json.
int MeasureSlopes(const std::string& out);

}  // namespace bilberrypitch::lab
