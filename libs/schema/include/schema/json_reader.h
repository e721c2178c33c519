// Reads JSON text into a schema message and checks each field against the
// schema by name, type and rule. All errors are found in one pass, each with
// the path of its field.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace bilberrypitch {

struct FieldError {
  std::string path;     // For example `workspaces[2].burst_tokens`.
  std::string message;  // One short sentence.
};

// Fills `message`; field names are those of the schema (snake case). Returns
// all errors; empty means that the message satisfies the schema.
std::vector<FieldError> ReadJson(std::string_view text,
                                 google::protobuf::Message* message);

// One line an error.
std::string FormatErrors(const std::vector<FieldError>& errors);

// The message as JSON with the schema's field names.
std::string WriteJson(const google::protobuf::Message& message, bool indent);

}  // namespace bilberrypitch
