// Runs experiments: a deployment for each scenario and policy, its load and
// failures, and a report as JSON and as a plot.
#pragma once

#include <string>

#include "deployment.h"

namespace bilberrypitch::lab {

// Runs the experiment file and writes OUT.json and OUT.svg. Returns the exit
// code: 0 when no invariant was broken, 1 when one was, 2 for a bad file.
int RunExperiment(const ProgramPaths& paths, const std::string& file,
                  const std::string& out);

// Time and processor time that an instance adds to a request and to a token,
// against the same requests sent straight to an engine.
int MeasureAdded(const ProgramPaths& paths, const std::string& out);

}  // namespace bilberrypitch::lab
