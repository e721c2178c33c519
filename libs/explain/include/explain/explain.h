// Builds the timeline of one request from the logs of several instances.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

// The log of one instance.
struct NamedLog {
  std::string name;  // Shown before each of its lines.
  std::string text;
};

// Returns the log lines of the request in chronological order, together with
// the lines about its upstreams, the configuration and lost dependencies that
// were logged while it was open or shortly before or after. The numbers of
// `end=` and `next=` are replaced by names. Returns an empty list when no log
// contains the request.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NamedLog>& logs);

}  // namespace bilberrypitch
