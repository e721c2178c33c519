// HTTP requests and responses, independent of the HTTP libraries.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Header fields in the order in which they were added. Field names are compared
// case-insensitively.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value);
  // Returns the value of the first field with this name; empty when there is
  // none.
  std::string_view Get(std::string_view name) const;
  size_t Count(std::string_view name) const;
  const std::vector<HttpHeader>& fields() const { return fields_; }
  // The size of all fields as sent in HTTP/1.1, with separators and line ends.
  size_t ByteSize() const;

 private:
  std::vector<HttpHeader> fields_;
};

// Compares two field names case-insensitively.
bool EqualFieldNames(std::string_view first, std::string_view second);

// Whether `text` consists of the characters of a field's name.
bool IsFieldName(std::string_view text);

// Returns the first of `names` that stands more than once; empty if none does.
std::string_view FindRepeated(const HttpHeaders& headers,
                              std::span<const std::string_view> names);
// The detail of an error for such a field.
std::string RepeatedFieldText(std::string_view name);

// Returns the fields that a proxy forwards: leaves out the hop-by-hop fields,
// `Content-Length` and `Expect`, the fields named by `Connection`, and those in
// `excluded`.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const std::vector<std::string_view>& excluded);

struct HttpRequest {
  std::string method;
  std::string target;  // Path and query as received.
  std::string path;    // Without the query.
  std::string query;   // Without the question mark.
  HttpHeaders headers;
  std::string body;
  Millis received_at;          // By the clock of EventLoop.
  uint64_t connection_id = 0;  // Equal for all requests of one connection.
};

struct HttpResponse {
  int status = 200;
  bool close_connection = false;  // Closes the connection after this response.
  HttpHeaders headers;
  std::string body;
};

}  // namespace bilberrypitch
