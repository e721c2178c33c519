// Compares three ways to keep a workspace's rate over many instances, on the
// same arrivals in simulated time: tokens that move, an equal static split, and
// a central counter in the store.
#pragma once

#include <string>

namespace bilberrypitch::lab {

// Prints a line for each way and writes OUT.json.
int CompareRates(const std::string& out);

}  // namespace bilberrypitch::lab
