// The story of one request, from the logs of several instances.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

// A log and the name under which its lines are shown.
struct NamedLog {
  std::string name;
  std::string text;
};

// Lines about the request in order of time, with numbers of the log replaced by
// words; and what was logged of its upstreams, of the configuration and of lost
// dependencies while it was open. Empty: no log names the request.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NamedLog>& logs);

}  // namespace bilberrypitch
