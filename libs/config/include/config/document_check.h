// What a document has to satisfy beyond the schema: names are unique and what
// one section names stands in another.
#pragma once

#include <string_view>
#include <vector>

#include "schema/json_reader.h"

namespace bilberrypitch {

namespace schema {
class Document;
}

// Returns all errors, each with the path of its field.
std::vector<FieldError> CheckDocument(const schema::Document& document);

// Reads JSON text and checks it whole.
std::vector<FieldError> ReadDocument(std::string_view text,
                                     schema::Document* document);

}  // namespace bilberrypitch
