// Shows a small deployment of separate processes at work.
#pragma once

namespace bilberrypitch::lab {

struct ProgramPaths;

// Prints what it does; the exit code.
int Demonstrate(const ProgramPaths& paths);

}  // namespace bilberrypitch::lab
