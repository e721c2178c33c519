// Implements RestinioResponder.
#include "restinio_responder.h"

#include <fmt/format.h>

#include <utility>

#include "base/error.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

std::string ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
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

void RestinioResponder::Send(HttpResponse response) {
  std::lock_guard lock(lock_);
  if (request_ == nullptr) {
    return;
  }
  auto builder = request_->create_response<restinio::user_controlled_output_t>(
      StatusLine(response.status));
  for (const HttpHeader& field : response.headers.fields()) {
    builder.append_header(field.name, field.value);
  }
  const bool closes = response.close_connection && may_close_();
  if (closes) {
    builder.connection_close();
  }
  builder.set_content_length(response.body.size());
  if (request_->header().method() != restinio::http_method_head()) {
    builder.set_body(std::move(response.body));
  }
  builder.done(HoldUntilWritten(std::move(write_token_)));
  request_.reset();
  on_responded_(closes);
}

void RestinioResponder::StartStream(int status, const HttpHeaders& headers) {
  std::lock_guard lock(lock_);
  if (request_ == nullptr) {
    return;
  }
  // The chunk framing is written here, because RESTinio's chunked builder can
  // end a response only as a complete one. The connection closes after the
  // response, so a client can recognize an incomplete response.
  stream_ = std::make_unique<Stream>(
      request_->create_response<restinio::user_controlled_output_t>(
          StatusLine(status)));
  for (const HttpHeader& field : headers.fields()) {
    stream_->append_header(field.name, field.value);
  }
  stream_->append_header("Transfer-Encoding", "chunked");
  stream_->connection_close();
  stream_->flush();
  request_.reset();
}

void RestinioResponder::Write(std::string data) {
  std::lock_guard lock(lock_);
  if (stream_ && !data.empty()) {
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
    AppendChunk(queue_.TakeWaiting());
    stream_->append_body("0\r\n\r\n");
    CloseStream();
  }
}

void RestinioResponder::AbortStream() {
  std::lock_guard lock(lock_);
  if (stream_) {
    AppendChunk(queue_.TakeWaiting());
    CloseStream();
  }
}

void RestinioResponder::AppendChunk(const std::string& data) {
  if (!data.empty()) {
    stream_->append_body(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
  }
}

void RestinioResponder::StartWrite(const std::string& data) {
  if (data.empty()) {
    return;
  }
  AppendChunk(data);
  stream_->flush([weak = weak_from_this()](
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

void RestinioResponder::CloseStream() {
  on_all_written_ = nullptr;
  stream_->done(HoldUntilWritten(std::move(write_token_)));
  stream_.reset();
  on_responded_(true);
}

}  // namespace bilberrypitch
