// Reads JSON text into a protobuf message and validates each field's name, type
// and rule (see rules.proto). One pass finds all errors, each with the path of
// its field.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace bilberrypitch {

// An error in one field of a JSON document.
struct FieldError {
  // For example `workspaces[2].burst_tokens`; "(whole)" for the document.
  std::string path;
  // What is wrong, to be read after the path.
  std::string message;
};

// Fills `message` from `text`, whose field names are the snake-case names of
// the schema. Returns all errors; an empty list means that the message is
// valid.
std::vector<FieldError> ReadJson(std::string_view text,
                                 google::protobuf::Message* message);

// Returns one line per error.
std::string FormatErrors(const std::vector<FieldError>& errors);

// Returns the message as JSON with the field names of the schema. `indent` adds
// line breaks and indentation.
std::string WriteJson(const google::protobuf::Message& message, bool indent);

}  // namespace bilberrypitch
