// Lets libcurl's multi interface wait for its sockets and its timer on an event
// loop.
#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

#include "transport/http_call.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;

// A connection of libcurl, from its opening to its closing. libcurl owns the
// descriptor.
class CurlSocket;
using CurlSocketPtr = std::shared_ptr<CurlSocket>;

// Not thread-safe: use it on the loop's thread only. To be destroyed after
// `multi` has been cleaned up.
class CurlSocketPoller {
 public:
  struct Hooks {
    // Receives the events of a socket (CURL_CSELECT_...), or the expiry of the
    // timer as CURL_SOCKET_TIMEOUT, for curl_multi_socket_action.
    std::function<void(curl_socket_t socket, int events)> on_action;
    // `easy` waits for this socket.
    std::function<void(CURL* easy, const CurlSocketPtr& socket)> on_used;
    // `easy` waits for the socket no longer. No other transfer has used the
    // connection since.
    std::function<void(CURL* easy, const CurlSocketPtr& socket)> on_released;
    // Bytes arrived on a watched connection, which has been shut down.
    std::function<void(const std::string& address)> on_unsolicited_bytes;
  };

  CurlSocketPoller(EventLoop* loop, CURLM* multi, Hooks hooks);
  ~CurlSocketPoller();
  CurlSocketPoller(const CurlSocketPoller&) = delete;
  CurlSocketPoller& operator=(const CurlSocketPoller&) = delete;

  // Lets this poller learn of the connections that `easy` opens.
  void Attach(CURL* easy);
  // Null if no connection with this descriptor is open.
  CurlSocketPtr Find(curl_socket_t fd) const;
  static bool IsOpen(const CurlSocketPtr& socket);
  // Whether a transfer waits for the socket.
  static bool InUse(const CurlSocketPtr& socket);
  // Waits for bytes on a connection that no transfer uses, until one uses it
  // again. Bytes that arrive meanwhile belong to no request.
  void WatchIdle(const CurlSocketPtr& socket, const std::string& address);
  // A transfer uses the connection from this local port to `address` again.
  // libcurl does not tell its descriptor before the transfer is complete.
  void EndIdleWatch(const std::string& address, uint16_t local_port);
  // Looks for bytes that wait to be read. A connection with such bytes is shut
  // down, so that libcurl finds it dead and does not use it again.
  static TrailingBytes ShutDownIfReadable(const CurlSocketPtr& socket);
  size_t open_sockets() const { return sockets_.size(); }
  // Whether connections that libcurl closes from now on are reset. What was
  // written and not delivered is lost then, where an orderly close lets the
  // system deliver it later.
  void SetResetsOnClose(bool resets) { resets_on_close_ = resets; }

 private:
  static int OnSocket(CURL* easy, curl_socket_t fd, int poll_events,
                      void* user_data, void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms, void* user_data);
  static curl_socket_t OnOpen(void* user_data, curlsocktype purpose,
                              curl_sockaddr* address);
  static int OnClose(void* user_data, curl_socket_t fd);

  void UpdateSocket(CURL* easy, int fd, int poll_events);
  // Starts an asynchronous wait for each requested event that has none pending.
  void WaitForEvents(const CurlSocketPtr& socket);
  void WaitForRead(const CurlSocketPtr& socket);
  void OnSocketReady(const CurlSocketPtr& socket, int events,
                     const std::error_code& ec);
  void OnIdleSocketReadable(const CurlSocketPtr& socket);

  EventLoop* const loop_;
  const Hooks hooks_;
  Timer timer_;
  std::unordered_map<int, CurlSocketPtr> sockets_;  // By descriptor; all open.
  bool resets_on_close_ = false;
};

}  // namespace bilberrypitch
