// Reads the requests of a connection beside the server's library, for what that
// library does not tell: the version of HTTP of each request, whether its
// caller waits for a word before it sends the body, and why bytes are no
// request.
//
// It reads with the parser that the library uses, so both agree on where each
// request ends.
#pragma once

#include <http_parser.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "transport/body_budget.h"

namespace bilberrypitch {

class ConnectionAccount;

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
  RequestSize size;
  WriteToken write_token;
  // Held while the request is handled: its part of the process's budget.
  std::shared_ptr<void> held;
  std::shared_ptr<ConnectionAccount> account;  // Null without a budget.
};

// What is to be written to the caller at once; nothing in most cases.
struct InspectorReply {
  std::string bytes;
  bool is_last = false;  // No request follows that can be read.
  // How many of the bytes are for the server's library. Fewer than were read
  // once a request is beyond a limit and the response that says so has to wait.
  size_t passed_bytes = 0;
  std::optional<EndCause> cause;  // For which it is the last reply.
};

class RequestInspector {
 public:
  explicit RequestInspector(const RequestSizeLimits& limits);
  RequestInspector(const RequestInspector&) = delete;
  RequestInspector& operator=(const RequestInspector&) = delete;

  // The configured limit, which may change; without it that of the constructor
  // holds alone.
  void SetMaxBodyBytes(std::shared_ptr<const std::atomic<size_t>> bytes) {
    max_body_bytes_ = std::move(bytes);
  }
  // Requests that are taken count there while they are handled.
  void SetAccount(std::shared_ptr<ConnectionAccount> account) {
    account_ = std::move(account);
  }

  // Reads the next bytes of the connection. Replies nothing while another
  // response is yet to be written, as the reply would stand within it.
  InspectorReply Feed(std::string_view bytes);
  // Returns the oldest of the requests that were read and not yet taken.
  InspectedRequest TakeRequest();
  // What the requests take that are not complete or not yet taken.
  size_t WaitingCost() const;
  // Returns the last response of a connection that is ended; empty if there is
  // no request to respond to or another response is yet to be written.
  std::string ResponseFor(EndCause cause) const;

 private:
  enum class Fault : uint8_t {
    kNone,
    kFieldTooLarge,
    kBodyTooLarge,
    kTooManyChunks,
    kMalformed
  };

  static http_parser_settings ParserSettings();
  static RequestInspector* Of(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* data, size_t size);
  static int OnFieldName(http_parser* parser, const char* data, size_t size);
  static int OnFieldValue(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnChunkHeader(http_parser* parser);
  static int OnMessageComplete(http_parser* parser);

  // Returns the number of bytes up to the end of the last request among them.
  size_t Parse(std::string_view bytes);
  void BeginRequest();
  int Fail(Fault fault);
  void CheckExpectation();
  bool MayWrite() const;
  size_t MaxBodyBytes() const;
  std::optional<EndCause> CauseOfFault() const;
  std::string LastResponse() const;

  const RequestSizeLimits limits_;
  mutable std::mutex lock_;
  http_parser parser_{};
  Fault fault_ = Fault::kNone;  // Once set, nothing more is read.
  bool is_last_ = false;        // The library reads no further request.
  bool complete_ = false;       // The request that is being read.
  bool awaits_continue_ = false;
  bool in_value_ = false;
  size_t field_value_bytes_ = 0;
  size_t target_bytes_ = 0;
  RequestSize size_;  // Of the request that is being read.
  std::string field_name_;
  std::string field_value_;
  std::deque<InspectedRequest> requests_;  // Not taken; without tokens.
  std::shared_ptr<const std::atomic<size_t>> max_body_bytes_;
  std::shared_ptr<ConnectionAccount> account_;
  // Shared with the requests whose responses are not written yet.
  const WriteToken write_token_ = std::make_shared<const bool>(true);
};

}  // namespace bilberrypitch
