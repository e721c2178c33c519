// A demonstration of a small deployment of separate processes.
#pragma once

namespace bilberrypitch::lab {

struct ProgramPaths;

// Prints each step and its result. Returns the exit code of the program: 0 when
// every check passed.
int RunDemonstration(const ProgramPaths& paths);

}  // namespace bilberrypitch::lab
