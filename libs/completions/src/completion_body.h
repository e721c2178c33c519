// The fields of a completion request's body that the gateway reads.
#pragma once

#include <optional>
#include <string_view>

#include "base/json.h"

namespace bilberrypitch {

// Fields of the top-level object. A field is null if it is absent or null; of
// duplicates the last one counts. Arrays and objects are kept empty, and so are
// strings other than `model`: only their type matters.
struct CompletionBody {
  json::value model;
  json::value max_completion_tokens;
  json::value max_tokens;
};

// Returns nothing unless `text` is one valid JSON object. Other values are
// checked but not stored: a tree takes 24 bytes for a value of two, which is
// twelve times the body.
std::optional<CompletionBody> ReadCompletionBody(std::string_view text);

}  // namespace bilberrypitch
