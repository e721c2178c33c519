// Implements RestinioResponder.
#include "restinio_responder.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "base/error.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;
constexpr std::string_view kLengthField = "Content-Length";
constexpr std::string_view kCodingField = "Transfer-Encoding";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Fields that say how a response is framed and whether its connection goes on.
bool IsSetByServer(std::string_view name) {
  return EqualFieldNames(name, kLengthField) ||
         EqualFieldNames(name, kCodingField) ||
         EqualFieldNames(name, "Connection");
}

std::string ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

restinio::http_status_line_t StatusLine(int status) {
  return restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<uint16_t>(status)},
      ReasonPhrase(status)};
}

restinio::write_status_cb_t HoldUntilWritten(WriteToken token) {
  return [token = std::move(token)](const restinio::asio_ns::error_code&) {};
}

}  // namespace

RestinioResponder::RestinioResponder(
    restinio::request_handle_t request, WriteToken token,
    std::function<bool()> may_close,
    std::function<void(bool closes)> on_responded)
    : request_(std::move(request)),
      write_token_(std::move(token)),
      may_close_(std::move(may_close)),
      on_responded_(std::move(on_responded)) {}

RestinioResponder::~RestinioResponder() {
  if (request_ != nullptr && !stream_) {
    Error error{ErrorKind::kInternal, "The request was dropped.",
                NotRun::kUnknown};
    Send(ErrorResponse(error, ""));
  } else if (stream_) {
    AbortStream();
  }
}

bool RestinioResponder::IsHead() const {
  return request_->header().method() == restinio::http_method_head();
}

bool RestinioResponder::MayHaveBody(int status) const {
  return !IsHead() && status >= kFirstFinalStatus &&
         status != kNoContentStatus && status != kNotModifiedStatus;
}

RestinioResponder::Output RestinioResponder::MakeOutput(
    int status, const HttpHeaders& headers) const {
  Output output = request_->create_response<FramedOutput>(StatusLine(status));
  for (const HttpHeader& field : headers.fields()) {
    if (!IsSetByServer(field.name)) {
      output.append_header(field.name, field.value);
    }
  }
  return output;
}

void RestinioResponder::Send(HttpResponse response) {
  std::lock_guard lock(lock_);
  if (request_ == nullptr) {
    return;
  }
  Output output = MakeOutput(response.status, response.headers);
  const bool closes = response.close_connection && may_close_();
  if (closes) {
    output.connection_close();
  }
  const bool has_body = MayHaveBody(response.status);
  // A response to HEAD states the length that one to GET would have, where that
  // is known.
  if (has_body || (IsHead() && !response.body.empty())) {
    output.append_header(std::string(kLengthField),
                         std::to_string(response.body.size()));
  }
  output.Finish(has_body ? std::move(response.body) : std::string(),
                HoldUntilWritten(std::move(write_token_)));
  request_.reset();
  on_responded_(closes);
}

void RestinioResponder::StartStream(int status, const HttpHeaders& headers) {
  std::lock_guard lock(lock_);
  if (request_ == nullptr) {
    return;
  }
  stream_has_body_ = MayHaveBody(status);
  stream_ = std::make_unique<Output>(MakeOutput(status, headers));
  if (stream_has_body_) {
    stream_->append_header(std::string(kCodingField), "chunked");
  }
  // So a client can recognize an incomplete response.
  stream_->connection_close();
  stream_->Write("", nullptr);
  request_.reset();
}

void RestinioResponder::Write(std::string data) {
  std::lock_guard lock(lock_);
  if (stream_ && stream_has_body_ && !data.empty()) {
    StartWrite(queue_.Push(std::move(data)));
  }
}

size_t RestinioResponder::unwritten_bytes() const {
  std::lock_guard lock(lock_);
  return queue_.unwritten_bytes();
}

void RestinioResponder::OnceWritten(std::function<void()> done) {
  std::lock_guard lock(lock_);
  on_all_written_ = std::move(done);
}

void RestinioResponder::EndStream() {
  std::lock_guard lock(lock_);
  if (stream_) {
    const std::string last = FramedPart(queue_.TakeWaiting());
    CloseStream(stream_has_body_ ? last + std::string(kLastChunk) : last);
  }
}

void RestinioResponder::AbortStream() {
  std::lock_guard lock(lock_);
  if (stream_) {
    CloseStream(FramedPart(queue_.TakeWaiting()));
  }
}

std::string RestinioResponder::FramedPart(const std::string& data) const {
  return data.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

void RestinioResponder::StartWrite(const std::string& data) {
  if (data.empty()) {
    return;
  }
  stream_->Write(FramedPart(data),
                 [weak = weak_from_this()](
                     const restinio::asio_ns::error_code& ec) noexcept {
                   if (auto self = weak.lock()) {
                     self->OnWritten(!ec);
                   }
                 });
}

// After a failed write nothing more is written; the server reports that the
// connection is closed.
void RestinioResponder::OnWritten(bool ok) {
  std::unique_lock lock(lock_);
  if (!stream_ || !ok) {
    return;
  }
  StartWrite(queue_.OnWritten());
  if (queue_.unwritten_bytes() == 0 && on_all_written_) {
    auto done = std::exchange(on_all_written_, nullptr);
    lock.unlock();
    done();
  }
}

void RestinioResponder::CloseStream(const std::string& last_bytes) {
  on_all_written_ = nullptr;
  stream_->Finish(last_bytes, HoldUntilWritten(std::move(write_token_)));
  stream_.reset();
  on_responded_(true);
}

}  // namespace bilberrypitch
