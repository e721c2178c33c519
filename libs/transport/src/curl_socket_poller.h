// Lets libcurl's multi interface wait for its sockets and its timer on an event
// loop.
#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;

// Not thread-safe: use it on the loop's thread only. To be destroyed after
// `multi` has been cleaned up.
class CurlSocketPoller {
 public:
  // Receives the events of a socket (CURL_CSELECT_...), or the expiry of the
  // timer as CURL_SOCKET_TIMEOUT, for curl_multi_socket_action.
  using ActionHook = std::function<void(curl_socket_t socket, int events)>;

  CurlSocketPoller(EventLoop* loop, CURLM* multi, ActionHook on_action);
  ~CurlSocketPoller();
  CurlSocketPoller(const CurlSocketPoller&) = delete;
  CurlSocketPoller& operator=(const CurlSocketPoller&) = delete;

 private:
  struct PolledSocket;
  using SocketPtr = std::shared_ptr<PolledSocket>;

  static int OnSocket(CURL* easy, curl_socket_t fd, int poll_events,
                      void* user_data, void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms, void* user_data);

  void UpdateSocket(int fd, int poll_events);
  // Starts an asynchronous wait for each requested event that has none pending.
  void WaitForEvents(int fd, const SocketPtr& socket);
  void OnSocketReady(int fd, const SocketPtr& socket, int events,
                     const std::error_code& ec);

  EventLoop* const loop_;
  const ActionHook on_action_;
  Timer timer_;
  std::unordered_map<int, SocketPtr> polled_sockets_;
};

}  // namespace bilberrypitch
