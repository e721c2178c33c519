// The parameters of a request's query, such as "host=h&path=%2Fa".
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrypitch {

using QueryParameters = std::map<std::string, std::string>;

// Returns nothing if `query` is malformed or names a parameter twice.
std::optional<QueryParameters> ParseQuery(std::string_view query);
// Without a question mark.
std::string FormatQuery(const QueryParameters& parameters);

}  // namespace bilberrypitch
