// One call of EventLoopHttpClient in progress: its libcurl handle, what arrives
// on it, its timeouts and its outcome.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <functional>

#include "curl_socket_poller.h"
#include "transport/http_call.h"
#include "transport/response_head.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;

// Connections that libcurl keeps open for later calls.
inline constexpr size_t kMaxPooledConnections = 512;

// Not thread-safe: use it on the loop's thread only. The caller adds the handle
// to the multi handle and removes it before CloseHandle.
class HttpTransfer {
 public:
  // `poller` must outlive the transfer. Not owned.
  HttpTransfer(EventLoop* loop, CurlSocketPoller* poller, CallId id,
               HttpCall call);
  ~HttpTransfer();
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  // Null for libcurl's own handles.
  static HttpTransfer* Of(CURL* easy);

  CallId id() const { return id_; }
  CURL* easy() const { return easy_; }
  HttpCall& call() { return call_; }
  CallOutcome& outcome() { return outcome_; }
  // Connections that the transfer has opened so far.
  uint64_t new_connections() const;

  // Calls back with the bytes that the response takes, when that has changed.
  // If the callback returns false the transfer is paused. It may not end it.
  void SetOnHeldBytes(std::function<bool(size_t)> on_held_bytes) {
    on_held_bytes_ = std::move(on_held_bytes);
  }
  // Whoever started the call keeps so many bytes of the response.
  void SetBytesKeptElsewhere(size_t bytes);

  // Calls back once when the first-byte, idle or total timeout has expired.
  void StartTimeoutTimer(std::function<void(CallResult)> on_timeout);

  // To be called within `on_data`. Has no effect on the total timeout.
  void Pause() { paused_ = true; }
  bool paused() const { return paused_; }
  // libcurl passes on what it has kept from within this call.
  CURLcode Unpause();

  // The handle waits for this socket, or no longer.
  void OnSocketUsed(const CurlSocketPtr& socket);
  void OnSocketReleased(const CurlSocketPtr& socket);

  // The result of a transfer that libcurl has ended with `code`.
  CallResult Classify(CURLcode code) const;
  // Completes the outcome of a complete response with what stands behind it,
  // and has the connection watched if it is idle now.
  void ExamineConnection();
  // Frees the handle.
  void CloseHandle();

 private:
  // The handle's options; in http_transfer_options.cc.
  void SetOptions();
  void SetConnectionOptions();
  void SetBody();
  void SetHeaders();
  static size_t OnRead(char* buffer, size_t size, size_t count,
                       void* user_data);

  static size_t OnHeader(char* data, size_t size, size_t count,
                         void* user_data);
  static size_t OnBody(char* data, size_t size, size_t count, void* user_data);
  // Returns false to cancel.
  bool OnHeadComplete();
  void EndIdleWatch() const;
  void RecordProgress();
  void PauseIfAsked();
  void ReportHeldBytes();
  // The time at which the next timeout expires.
  Millis NextDeadline() const;
  void RestartTimer();
  void CheckTimeouts();
  void LookBehindResponse(const CurlSocketPtr& socket);
  void SetTrailingBytes();
  void WatchIfIdle() const;
  bool ClosedByLibcurl() const;

  CurlSocketPoller* const poller_;
  const CallId id_;
  HttpCall call_;
  size_t body_bytes_sent_ = 0;
  ResponseHead head_;
  CURL* easy_ = nullptr;  // Null after CloseHandle.
  curl_slist* header_list_ = nullptr;
  CallOutcome outcome_;
  Millis started_;
  Millis last_progress_;
  Timer timer_;  // Fires when a timeout may have expired.
  std::function<void(CallResult)> on_timeout_;
  std::function<bool(size_t)> on_held_bytes_;
  size_t kept_elsewhere_ = 0;
  size_t reported_bytes_ = 0;  // To `on_held_bytes_`, last.
  bool response_started_ = false;
  bool cancelled_by_callback_ = false;
  bool response_too_large_ = false;
  bool response_malformed_ = false;
  bool paused_ = false;         // No more is read until it is resumed.
  CurlSocketPtr socket_;        // That libcurl waited for last; may be null.
  bool looked_behind_ = false;  // On `socket_`, for trailing bytes.
};

}  // namespace bilberrypitch
