// Implements RequestInspector with http_parser.
#include "request_inspector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "connection_account.h"
#include "response_text.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

// Enough to tell the names and values that matter from all others.
constexpr size_t kMaxKeptBytes = 32;
constexpr std::string_view kExpectField = "Expect";
constexpr std::string_view kContinue = "100-continue";
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

void AppendSome(std::string_view text, std::string* to) {
  to->append(
      text.substr(0, kMaxKeptBytes - std::min(kMaxKeptBytes, to->size())));
}

}  // namespace

RequestInspector::RequestInspector(const RequestSizeLimits& limits)
    : limits_(limits) {
  BeginRequest();
}

void RequestInspector::BeginRequest() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  complete_ = false;
  awaits_continue_ = false;
  in_value_ = false;
  target_bytes_ = 0;
  size_ = RequestSize();
  field_name_.clear();
  field_value_.clear();
}

InspectorReply RequestInspector::Feed(std::string_view bytes) {
  std::lock_guard lock(lock_);
  InspectorReply reply;
  reply.passed_bytes = bytes.size();
  const size_t complete_bytes = Parse(bytes);
  if (!MayWrite()) {
    if (CauseOfFault()) {
      reply.passed_bytes = complete_bytes;
    }
    return reply;
  }
  if (fault_ != Fault::kNone) {
    reply.bytes = LastResponse();
    reply.is_last = true;
    reply.cause = CauseOfFault();
  } else if (std::exchange(awaits_continue_, false)) {
    reply.bytes = kContinueResponse;
  }
  return reply;
}

size_t RequestInspector::Parse(std::string_view bytes) {
  static const http_parser_settings settings = ParserSettings();
  const size_t size = bytes.size();
  size_t complete_bytes = 0;
  while (!bytes.empty() && fault_ == Fault::kNone && !is_last_) {
    bytes.remove_prefix(
        http_parser_execute(&parser_, &settings, bytes.data(), bytes.size()));
    if (complete_) {
      complete_bytes = size - bytes.size();
      is_last_ = parser_.upgrade != 0;
      BeginRequest();
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK &&
               fault_ == Fault::kNone) {
      Fail(Fault::kMalformed);
    }
  }
  return complete_bytes;
}

InspectedRequest RequestInspector::TakeRequest() {
  InspectedRequest request;
  {
    std::lock_guard lock(lock_);
    if (!requests_.empty()) {
      request = requests_.front();
      requests_.pop_front();
    }
    request.write_token = write_token_;
  }
  if (account_ != nullptr) {
    request.account = account_;
    request.held = account_->HoldHandled(request.size.HandlingCost());
    account_->OnReceived(WaitingCost());
  }
  return request;
}

size_t RequestInspector::WaitingCost() const {
  std::lock_guard lock(lock_);
  size_t cost = size_.ReceivingCost();
  for (const InspectedRequest& request : requests_) {
    cost += request.size.HandlingCost();
  }
  return cost;
}

std::string RequestInspector::ResponseFor(EndCause cause) const {
  std::lock_guard lock(lock_);
  const bool has_request = !requests_.empty() || target_bytes_ > 0;
  if (!has_request || write_token_.use_count() > 1 ||
      cause == EndCause::kUnreadResponse) {
    return "";
  }
  if (CauseOfFault()) {
    return LastResponse();
  }
  const Error error =
      cause == EndCause::kStalled
          ? Error{ErrorKind::kRequestTimeout, "The request did not go on.",
                  NotRun::kTrue}
          : Error{ErrorKind::kOverloaded,
                  "This instance has no room for the request.", NotRun::kTrue};
  return ClosingResponseText(ErrorResponse(error, ""));
}

size_t RequestInspector::MaxBodyBytes() const {
  return max_body_bytes_ != nullptr
             ? std::min(max_body_bytes_->load(), limits_.body_bytes)
             : limits_.body_bytes;
}

std::optional<EndCause> RequestInspector::CauseOfFault() const {
  if (fault_ == Fault::kBodyTooLarge) {
    return EndCause::kBodyTooLarge;
  }
  if (fault_ == Fault::kTooManyChunks) {
    return EndCause::kTooManyChunks;
  }
  return std::nullopt;
}

bool RequestInspector::MayWrite() const {
  return requests_.empty() && write_token_.use_count() == 1;
}

std::string RequestInspector::LastResponse() const {
  Error error{ErrorKind::kMalformedRequest, "", NotRun::kTrue};
  if (fault_ == Fault::kFieldTooLarge) {
    error.kind = ErrorKind::kHeadersTooLarge;
    error.detail = "A field or the target is too long.";
  } else if (fault_ == Fault::kBodyTooLarge) {
    error.kind = ErrorKind::kBodyTooLarge;
    error.detail = fmt::format("The body exceeds {} bytes.", MaxBodyBytes());
  } else if (fault_ == Fault::kTooManyChunks) {
    error.kind = ErrorKind::kBodyTooLarge;
    error.detail = "The body has too many chunks.";
  } else {
    error.detail =
        fmt::format("The request can't be read: {}.",
                    http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  }
  return ClosingResponseText(ErrorResponse(error, ""));
}

int RequestInspector::Fail(Fault fault) {
  if (fault_ == Fault::kNone) {
    fault_ = fault;
  }
  return 1;
}

http_parser_settings RequestInspector::ParserSettings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = &OnTarget;
  settings.on_header_field = &OnFieldName;
  settings.on_header_value = &OnFieldValue;
  settings.on_headers_complete = &OnHeadersComplete;
  settings.on_body = &OnBody;
  settings.on_chunk_header = &OnChunkHeader;
  settings.on_message_complete = &OnMessageComplete;
  return settings;
}

RequestInspector* RequestInspector::Of(http_parser* parser) {
  return static_cast<RequestInspector*>(parser->data);
}

int RequestInspector::OnTarget(http_parser* parser, const char* /*data*/,
                               size_t size) {
  RequestInspector* self = Of(parser);
  self->target_bytes_ += size;
  self->size_.head_bytes += size;
  return self->target_bytes_ > self->limits_.field_bytes
             ? self->Fail(Fault::kFieldTooLarge)
             : 0;
}

int RequestInspector::OnFieldName(http_parser* parser, const char* data,
                                  size_t size) {
  RequestInspector* self = Of(parser);
  if (self->in_value_) {
    self->CheckExpectation();
    self->in_value_ = false;
    self->field_name_.clear();
  }
  if (self->field_name_.empty()) {
    ++self->size_.fields;
  }
  self->size_.head_bytes += size;
  AppendSome({data, size}, &self->field_name_);
  return 0;
}

int RequestInspector::OnFieldValue(http_parser* parser, const char* data,
                                   size_t size) {
  RequestInspector* self = Of(parser);
  if (!self->in_value_) {
    self->in_value_ = true;
    self->field_value_.clear();
    self->field_value_bytes_ = 0;
  }
  self->field_value_bytes_ += size;
  self->size_.head_bytes += size;
  AppendSome({data, size}, &self->field_value_);
  return self->field_value_bytes_ >= self->limits_.field_bytes
             ? self->Fail(Fault::kFieldTooLarge)
             : 0;
}

void RequestInspector::CheckExpectation() {
  awaits_continue_ =
      awaits_continue_ || (EqualFieldNames(field_name_, kExpectField) &&
                           EqualFieldNames(field_value_, kContinue));
}

int RequestInspector::OnHeadersComplete(http_parser* parser) {
  RequestInspector* self = Of(parser);
  self->CheckExpectation();
  const bool is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  self->awaits_continue_ = self->awaits_continue_ && !is_http_1_0;
  constexpr uint64_t kNoLength = UINT64_MAX;
  if (parser->content_length != kNoLength &&
      parser->content_length > self->MaxBodyBytes()) {
    return -self->Fail(Fault::kBodyTooLarge);
  }
  return 0;
}

int RequestInspector::OnBody(http_parser* parser, const char* /*data*/,
                             size_t size) {
  RequestInspector* self = Of(parser);
  self->awaits_continue_ = false;
  self->size_.body_bytes += size;
  return self->size_.body_bytes > self->MaxBodyBytes()
             ? self->Fail(Fault::kBodyTooLarge)
             : 0;
}

// The size of the chunk stands in its header, before its bytes.
int RequestInspector::OnChunkHeader(http_parser* parser) {
  RequestInspector* self = Of(parser);
  ++self->size_.chunks;
  const size_t max_bytes = self->MaxBodyBytes();
  if (parser->content_length > max_bytes - self->size_.body_bytes) {
    return self->Fail(Fault::kBodyTooLarge);
  }
  return self->size_.chunks > MaxChunksFor(max_bytes)
             ? self->Fail(Fault::kTooManyChunks)
             : 0;
}

int RequestInspector::OnMessageComplete(http_parser* parser) {
  RequestInspector* self = Of(parser);
  self->complete_ = true;
  InspectedRequest request;
  request.is_known_version = parser->http_major == 1;
  request.is_http_1_0 = request.is_known_version && parser->http_minor == 0;
  request.size = self->size_;
  self->requests_.push_back(request);
  // Ends the call, so that the next request is read by itself.
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace bilberrypitch
