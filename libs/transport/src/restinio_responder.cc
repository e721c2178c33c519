// Implements RestinioResponder.
#include "restinio_responder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "response_text.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;
constexpr std::string_view kLengthField = "Content-Length";
constexpr std::string_view kCodingField = "Transfer-Encoding";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr size_t kMaxCollectedBytes = 8 << 20;

// Fields that say how a response is framed and whether its connection goes on.
bool IsSetByServer(std::string_view name) {
  return EqualFieldNames(name, kLengthField) ||
         EqualFieldNames(name, kCodingField) ||
         EqualFieldNames(name, "Connection");
}

// Fields of a response that may stand once; of several, the first is written.
bool IsSingle(std::string_view name) {
  constexpr std::array<std::string_view, 7> kSingleFields = {
      "Content-Type", "Date",          "Retry-After", "Location",
      "ETag",         "Last-Modified", "Server"};
  return std::any_of(
      kSingleFields.begin(), kSingleFields.end(),
      [name](std::string_view it) { return EqualFieldNames(it, name); });
}

restinio::http_status_line_t StatusLine(int status) {
  return restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<uint16_t>(status)},
      std::string(ReasonPhrase(status))};
}

restinio::write_status_cb_t HoldUntilWritten(WriteTokens tokens) {
  return [tokens = std::move(tokens)](const restinio::asio_ns::error_code&) {};
}

// Ends a response of which nothing has been sent.
void SendError(Responder* responder, std::string detail) {
  HttpResponse response = ErrorResponse(
      {ErrorKind::kOutcomeUnknown, std::move(detail), NotRun::kUnknown}, "");
  response.close_connection = true;
  responder->Send(std::move(response));
}

}  // namespace

RestinioResponder::RestinioResponder(
    restinio::request_handle_t request, bool is_http_1_0, WriteTokens tokens,
    std::shared_ptr<ConnectionAccount> account, std::function<bool()> may_close,
    std::function<void(bool closes)> on_responded)
    : request_(std::move(request)),
      is_http_1_0_(is_http_1_0),
      write_tokens_(std::move(tokens)),
      account_(std::move(account)),
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

// RESTinio hands the connection over with such a request.
bool RestinioResponder::IsLastRequest() const {
  const auto& header = request_->header();
  return header.connection() == restinio::http_connection_header_t::upgrade ||
         header.method() == restinio::http_method_connect();
}

RestinioResponder::Output RestinioResponder::MakeOutput(
    int status, const HttpHeaders& headers) const {
  Output output = request_->create_response<FramedOutput>(StatusLine(status));
  HttpHeaders written;
  for (const HttpHeader& field : headers.fields()) {
    const bool repeats = IsSingle(field.name) && written.Count(field.name) > 0;
    if (!IsSetByServer(field.name) && !repeats) {
      output.append_header(field.name, field.value);
      written.Add(field.name, field.value);
    }
  }
  return output;
}

void RestinioResponder::Send(HttpResponse response) {
  std::lock_guard lock(lock_);
  if (request_ != nullptr) {
    const bool closes =
        (response.close_connection || IsLastRequest()) && may_close_();
    SendWhole(std::move(response), closes);
  }
}

void RestinioResponder::SendAndClose(HttpResponse response) {
  std::lock_guard lock(lock_);
  if (request_ != nullptr) {
    SendWhole(std::move(response), true);
  }
}

void RestinioResponder::SendWhole(HttpResponse response, bool closes) {
  Output output = MakeOutput(response.status, response.headers);
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
  CountUnread(0);
  if (account_ != nullptr) {
    write_tokens_.unread =
        account_->HoldUnread(has_body ? response.body.size() : 0);
  }
  write_tokens_.held.reset();
  output.Finish(has_body ? std::move(response.body) : std::string(),
                HoldUntilWritten(std::move(write_tokens_)));
  request_.reset();
  on_responded_(closes);
}

void RestinioResponder::StartStream(int status, const HttpHeaders& headers) {
  std::lock_guard lock(lock_);
  if (request_ == nullptr) {
    return;
  }
  stream_has_body_ = MayHaveBody(status);
  if (stream_has_body_ && is_http_1_0_) {
    collected_ = HttpResponse{status, true, headers, ""};
    return;
  }
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
  if (collected_) {
    Collect(data);
  } else if (stream_ && stream_has_body_ && !data.empty()) {
    StartWrite(queue_.Push(std::move(data)));
    CountUnread(queue_.unwritten_bytes());
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
  if (collected_) {
    SendCollected();
  } else if (stream_) {
    const std::string last = FramedPart(queue_.TakeWaiting());
    CloseStream(stream_has_body_ ? last + std::string(kLastChunk) : last);
  }
}

void RestinioResponder::AbortStream() {
  std::lock_guard lock(lock_);
  if (collected_) {
    collected_.reset();
    SendError(this, "The answer broke off.");
  } else if (stream_) {
    CloseStream(FramedPart(queue_.TakeWaiting()));
  }
}

void RestinioResponder::Collect(const std::string& data) {
  if (collected_->body.size() + data.size() > kMaxCollectedBytes) {
    collected_.reset();
    SendError(this, "The answer is too long for HTTP/1.0.");
    return;
  }
  collected_->body += data;
  CountUnread(collected_->body.size());
}

void RestinioResponder::SendCollected() {
  HttpResponse response = std::move(*collected_);
  collected_.reset();
  Send(std::move(response));
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

void RestinioResponder::CountUnread(size_t bytes) {
  if (account_ == nullptr) {
    return;
  }
  if (bytes > counted_unread_) {
    account_->AddUnread(bytes - counted_unread_);
  } else if (bytes < counted_unread_) {
    account_->RemoveUnread(counted_unread_ - bytes);
  }
  counted_unread_ = bytes;
}

// After a failed write nothing more is written; the server reports that the
// connection is closed.
void RestinioResponder::OnWritten(bool ok) {
  std::unique_lock lock(lock_);
  if (!stream_ || !ok) {
    return;
  }
  StartWrite(queue_.OnWritten());
  CountUnread(queue_.unwritten_bytes());
  if (queue_.unwritten_bytes() == 0 && on_all_written_) {
    auto done = std::exchange(on_all_written_, nullptr);
    lock.unlock();
    done();
  }
}

void RestinioResponder::CloseStream(const std::string& last_bytes) {
  on_all_written_ = nullptr;
  CountUnread(0);
  stream_->Finish(last_bytes, HoldUntilWritten(std::move(write_tokens_)));
  stream_.reset();
  on_responded_(true);
}

}  // namespace bilberrypitch
