// Reads the requests of a connection beside the server's library, for what that
// library does not tell: the version of HTTP of each request, whether its
// caller waits for a word before it sends the body, and why bytes are no
// request.
//
// It reads with the parser that the library uses, so both agree on where each
// request ends.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bilberrypitch {

// Requests beyond these sizes are not read.
struct RequestSizeLimits {
  size_t field_bytes = 0;  // Of the target, and of a field's value.
  size_t body_bytes = 0;
};

// Held for each request until its response is written, or can't be.
using WriteToken = std::shared_ptr<const bool>;

// What the server's library does not tell of a request.
struct InspectedRequest {
  bool is_http_1_0 = false;
  bool is_known_version = true;
  WriteToken write_token;
};

// What is to be written to the caller at once; nothing in most cases.
struct InspectorReply {
  std::string bytes;
  bool is_last = false;  // No request follows that can be read.
};

class RequestInspector {
 public:
  explicit RequestInspector(const RequestSizeLimits& limits);
  RequestInspector(const RequestInspector&) = delete;
  RequestInspector& operator=(const RequestInspector&) = delete;

  // Reads the next bytes of the connection. Replies nothing while another
  // response is yet to be written, as the reply would stand within it.
  InspectorReply Feed(std::string_view bytes);
  // Returns the oldest of the requests that were read and not yet taken.
  InspectedRequest TakeRequest();

 private:
  enum class Fault : uint8_t {
    kNone,
    kFieldTooLarge,
    kBodyTooLarge,
    kMalformed
  };

  static http_parser_settings ParserSettings();
  static RequestInspector* Of(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* data, size_t size);
  static int OnFieldName(http_parser* parser, const char* data, size_t size);
  static int OnFieldValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);

  void BeginRequest();
  int Fail(Fault fault);
  void CheckExpectation();
  bool MayWrite() const;
  std::string LastResponse() const;

  const RequestSizeLimits limits_;
  mutable std::mutex lock_;
  http_parser parser_{};
  Fault fault_ = Fault::kNone;  // Once set, nothing more is read.
  bool is_last_ = false;        // The library reads no further request.
  bool complete_ = false;       // The request that is being read.
  bool awaits_continue_ = false;
  bool in_value_ = false;
  size_t target_bytes_ = 0;
  size_t field_value_bytes_ = 0;
  size_t body_bytes_ = 0;
  std::string field_name_;
  std::string field_value_;
  std::deque<InspectedRequest> requests_;  // Not taken; without tokens.
  // Shared with the requests whose responses are not written yet.
  const WriteToken write_token_ = std::make_shared<const bool>(true);
};

}  // namespace bilberrypitch
