// Requests and answers of HTTP as the program passes them around.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Fields in the order in which they came. Names compare without case.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value);
  // Empty when there is none; the first one when there are several.
  std::string_view Get(std::string_view name) const;
  const std::vector<HttpHeader>& fields() const { return all_; }
  size_t ByteSize() const;

 private:
  std::vector<HttpHeader> all_;
};

bool EqualFieldNames(std::string_view first, std::string_view second);

// The fields to pass on: none of one connection's, none that `Connection`
// names, and none of `dropped`.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const std::vector<std::string_view>& dropped);

struct HttpRequest {
  std::string method;
  std::string target;  // Path and query as they came.
  std::string path;    // Without the query.
  std::string query;   // Without the question mark.
  HttpHeaders headers;
  std::string body;
  uint64_t connection_id = 0;  // The same number for all requests on it.
};

struct HttpResponse {
  int status = 200;
  bool close_connection = false;  // After this answer.
  HttpHeaders headers;
  std::string body;
};

}  // namespace bilberrypitch
