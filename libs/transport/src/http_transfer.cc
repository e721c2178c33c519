// Callbacks of libcurl for one transfer, its timeouts, and what its end means.
#include "http_transfer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/check.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// A response that takes less is not reported, as most do.
constexpr size_t kMinReportedBytes = 4 << 10;

}  // namespace

HttpTransfer::HttpTransfer(EventLoop* loop, CurlSocketPoller* poller, CallId id,
                           HttpCall call)
    : poller_(poller),
      id_(id),
      call_(std::move(call)),
      easy_(curl_easy_init()),
      started_(EventLoop::Now()),
      last_progress_(started_),
      timer_(loop) {
  BP_CHECK(easy_ != nullptr, "curl_easy_init failed");
  SetOptions();
}

HttpTransfer::~HttpTransfer() { CloseHandle(); }

void HttpTransfer::CloseHandle() {
  if (easy_ != nullptr) {
    curl_easy_cleanup(std::exchange(easy_, nullptr));
    curl_slist_free_all(header_list_);
  }
}

HttpTransfer* HttpTransfer::Of(CURL* easy) {
  char* user_data = nullptr;
  if (easy != nullptr) {
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user_data);
  }
  return reinterpret_cast<HttpTransfer*>(user_data);
}

uint64_t HttpTransfer::new_connections() const {
  long count = 0;
  curl_easy_getinfo(easy_, CURLINFO_NUM_CONNECTS, &count);
  return static_cast<uint64_t>(count);
}

size_t HttpTransfer::OnHeader(char* data, size_t size, size_t count,
                              void* user_data) {
  auto* transfer = static_cast<HttpTransfer*>(user_data);
  transfer->RecordProgress();
  ResponseHead::Progress progress =
      transfer->head_.Feed(std::string_view(data, size * count));
  transfer->ReportHeldBytes();
  switch (progress) {
    case ResponseHead::Progress::kIncomplete:
      return size * count;
    case ResponseHead::Progress::kComplete:
      return transfer->OnHeadComplete() ? size * count : 0;
    case ResponseHead::Progress::kMalformed:
      transfer->response_malformed_ = true;
      return 0;
    case ResponseHead::Progress::kTooLarge:
      transfer->response_too_large_ = true;
      return 0;
  }
  return 0;
}

bool HttpTransfer::OnHeadComplete() {
  outcome_.status = head_.status();
  outcome_.headers = head_.headers();
  if (!call_.on_headers) {
    return true;
  }
  ResponseStart start;
  start.status = head_.status();
  start.headers = head_.headers();
  start.reused_connection = new_connections() == 0;
  start.framing = head_.framing(call_.method);
  if (call_.on_headers(start)) {
    return true;
  }
  cancelled_by_callback_ = true;
  return false;
}

size_t HttpTransfer::OnBody(char* data, size_t size, size_t count,
                            void* user_data) {
  auto* transfer = static_cast<HttpTransfer*>(user_data);
  transfer->RecordProgress();
  size_t bytes = size * count;
  const HttpCall& call = transfer->call_;
  CallOutcome& outcome = transfer->outcome_;
  if (call.on_data && outcome.status < 300) {
    if (!call.on_data(std::string_view(data, bytes))) {
      transfer->cancelled_by_callback_ = true;
      return 0;
    }
    transfer->PauseIfAsked();
    return bytes;
  }
  if (outcome.body.size() + bytes > call.max_response_bytes) {
    transfer->response_too_large_ = true;
    return 0;
  }
  outcome.body.append(data, bytes);
  transfer->ReportHeldBytes();
  transfer->PauseIfAsked();
  return bytes;
}

// A response that arrives before libcurl waits for it leaves the watch of the
// pooled connection in place. While the transfer is paused, that watch would
// take the rest of the response for unsolicited bytes.
void HttpTransfer::EndIdleWatch() const {
  long port = 0;
  curl_easy_getinfo(easy_, CURLINFO_LOCAL_PORT, &port);
  poller_->EndIdleWatch(call_.address, static_cast<uint16_t>(port));
}

void HttpTransfer::SetBytesKeptElsewhere(size_t bytes) {
  kept_elsewhere_ = bytes;
  ReportHeldBytes();
}

void HttpTransfer::ReportHeldBytes() {
  size_t bytes = head_.cost() + outcome_.body.capacity() + kept_elsewhere_;
  bool is_small = bytes < kMinReportedBytes && reported_bytes_ == 0;
  if (on_held_bytes_ && !is_small && bytes != reported_bytes_) {
    reported_bytes_ = bytes;
    paused_ = !on_held_bytes_(bytes) || paused_;
  }
}

void HttpTransfer::PauseIfAsked() {
  if (paused_) {
    EndIdleWatch();
    curl_easy_pause(easy_, CURLPAUSE_RECV);
  }
}

void HttpTransfer::RecordProgress() {
  last_progress_ = EventLoop::Now();
  response_started_ = true;
}

CURLcode HttpTransfer::Unpause() {
  paused_ = false;
  last_progress_ = EventLoop::Now();
  return curl_easy_pause(easy_, CURLPAUSE_CONT);
}

void HttpTransfer::OnSocketUsed(const CurlSocketPtr& socket) {
  socket_ = socket;
  looked_behind_ = false;
  outcome_.trailing = TrailingBytes::kNone;
}

void HttpTransfer::OnSocketReleased(const CurlSocketPtr& socket) {
  // libcurl also waits no longer for the socket of a paused transfer.
  if (!paused_) {
    LookBehindResponse(socket);
  }
}

void HttpTransfer::LookBehindResponse(const CurlSocketPtr& socket) {
  looked_behind_ = true;
  outcome_.trailing = CurlSocketPoller::ShutDownIfReadable(socket);
}

void HttpTransfer::ExamineConnection() {
  SetTrailingBytes();
  WatchIfIdle();
}

// Finds what stands behind a complete response.
void HttpTransfer::SetTrailingBytes() {
  if (!looked_behind_) {
    // The response arrived before libcurl had to wait for it.
    curl_socket_t fd = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy_, CURLINFO_ACTIVESOCKET, &fd);
    socket_ = poller_->Find(fd);
    bool in_use_again = socket_ && CurlSocketPoller::InUse(socket_);
    if (socket_ && !in_use_again) {
      LookBehindResponse(socket_);
    }
  }
  if (outcome_.trailing == TrailingBytes::kNone && ClosedByLibcurl()) {
    outcome_.trailing = TrailingBytes::kUnknown;
  }
}

// Watches the connection of a complete response if it has gone back to the
// pool.
void HttpTransfer::WatchIfIdle() const {
  if (outcome_.trailing == TrailingBytes::kNone && socket_ &&
      CurlSocketPoller::IsOpen(socket_) && !CurlSocketPoller::InUse(socket_)) {
    poller_->WatchIdle(socket_, call_.address);
  }
}

// Whether libcurl closed the connection of a complete response although
// neither side asked for it. It does so when it has read more than the
// stated length.
bool HttpTransfer::ClosedByLibcurl() const {
  bool closed = !socket_ || !CurlSocketPoller::IsOpen(socket_);
  bool pool_full = poller_->open_sockets() >= kMaxPooledConnections;
  if (!closed || pool_full || call_.dedicated_connection ||
      head_.framing(call_.method) != BodyFraming::kLength ||
      !head_.keeps_connection()) {
    return false;
  }
  // libcurl also closes if the response came before all of the request was
  // sent.
  curl_off_t sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
  return sent == static_cast<curl_off_t>(call_.body.size());
}

CallResult HttpTransfer::Classify(CURLcode code) const {
  if (code == CURLE_OK) {
    // libcurl also takes a head that breaks off for a whole response.
    bool has_head = outcome_.status != 0;
    return has_head ? CallResult::kComplete : CallResult::kConnectionBroken;
  }
  if (cancelled_by_callback_) {
    return CallResult::kCancelled;
  }
  bool malformed = response_malformed_ || code == CURLE_UNSUPPORTED_PROTOCOL ||
                   code == CURLE_WEIRD_SERVER_REPLY;
  if (malformed) {
    return CallResult::kMalformedResponse;
  }
  // libcurl has a limit of its own for a single line.
  bool line_too_long = code == CURLE_OUT_OF_MEMORY;
  if (response_too_large_ || line_too_long) {
    return CallResult::kResponseTooLarge;
  }
  // libcurl may have sent the request on a pooled connection that broke, and
  // then have failed to open a new one. The code of such a failure does not
  // prove that the request was not sent.
  long sent_bytes = 0;
  curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent_bytes);
  bool sent = sent_bytes > 0 || body_bytes_sent_ > 0;
  if (!sent && code == CURLE_COULDNT_CONNECT) {
    return CallResult::kConnectFailed;
  }
  if (!sent && code == CURLE_OPERATION_TIMEDOUT) {
    return CallResult::kConnectTimeout;
  }
  return CallResult::kConnectionBroken;
}

Millis HttpTransfer::NextDeadline() const {
  const CallTimeouts& timeouts = call_.timeouts;
  Millis idle_timeout = response_started_ ? timeouts.idle : timeouts.first_byte;
  return std::min(started_ + timeouts.total, last_progress_ + idle_timeout);
}

void HttpTransfer::StartTimeoutTimer(
    std::function<void(CallResult)> on_timeout) {
  on_timeout_ = std::move(on_timeout);
  RestartTimer();
}

void HttpTransfer::RestartTimer() {
  Millis delay = std::max(Millis(1), NextDeadline() - EventLoop::Now());
  timer_.Start(delay, [this] { CheckTimeouts(); });
}

void HttpTransfer::CheckTimeouts() {
  Millis now = EventLoop::Now();
  if (now < NextDeadline()) {
    RestartTimer();
    return;
  }
  bool is_total = now >= started_ + call_.timeouts.total;
  // The callback destroys this transfer.
  std::function<void(CallResult)> on_timeout = std::move(on_timeout_);
  on_timeout(is_total ? CallResult::kTotalTimeout : CallResult::kStalled);
}

}  // namespace bilberrypitch
