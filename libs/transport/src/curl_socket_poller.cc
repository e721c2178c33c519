// Waits for libcurl's sockets with Asio.
#include "curl_socket_poller.h"

#include <asio.hpp>
#include <system_error>
#include <utility>

#include "transport/event_loop.h"

namespace bilberrypitch {

// A socket that libcurl asked to be polled. libcurl owns the descriptor.
struct CurlSocketPoller::PolledSocket {
  PolledSocket(asio::io_context& context, int fd) : descriptor(context, fd) {}
  ~PolledSocket() { descriptor.release(); }
  PolledSocket(const PolledSocket&) = delete;
  PolledSocket& operator=(const PolledSocket&) = delete;

  asio::posix::stream_descriptor descriptor;
  int poll_events = 0;  // CURL_POLL_IN, CURL_POLL_OUT or both.
  bool read_wait_pending = false;
  bool write_wait_pending = false;
  bool removed = false;
};

CurlSocketPoller::CurlSocketPoller(EventLoop* loop, CURLM* multi,
                                   ActionHook on_action)
    : loop_(loop), on_action_(std::move(on_action)), timer_(loop) {
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

CurlSocketPoller::~CurlSocketPoller() = default;

int CurlSocketPoller::OnSocket(CURL* /*easy*/, curl_socket_t fd,
                               int poll_events, void* user_data,
                               void* /*socket_data*/) {
  static_cast<CurlSocketPoller*>(user_data)->UpdateSocket(fd, poll_events);
  return 0;
}

void CurlSocketPoller::UpdateSocket(int fd, int poll_events) {
  auto it = polled_sockets_.find(fd);
  if (poll_events == CURL_POLL_REMOVE) {
    if (it != polled_sockets_.end()) {
      it->second->removed = true;
      it->second->descriptor.release();
      polled_sockets_.erase(it);
    }
    return;
  }
  if (it == polled_sockets_.end()) {
    auto added = std::make_shared<PolledSocket>(loop_->context(), fd);
    it = polled_sockets_.emplace(fd, std::move(added)).first;
  }
  it->second->poll_events = poll_events;
  WaitForEvents(fd, it->second);
}

void CurlSocketPoller::WaitForEvents(int fd, const SocketPtr& socket) {
  if ((socket->poll_events & CURL_POLL_IN) != 0 && !socket->read_wait_pending) {
    socket->read_wait_pending = true;
    socket->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [this, fd, socket](const std::error_code& ec) {
          socket->read_wait_pending = false;
          OnSocketReady(fd, socket, CURL_CSELECT_IN, ec);
        });
  }
  if ((socket->poll_events & CURL_POLL_OUT) != 0 &&
      !socket->write_wait_pending) {
    socket->write_wait_pending = true;
    socket->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [this, fd, socket](const std::error_code& ec) {
          socket->write_wait_pending = false;
          OnSocketReady(fd, socket, CURL_CSELECT_OUT, ec);
        });
  }
}

void CurlSocketPoller::OnSocketReady(int fd, const SocketPtr& socket,
                                     int events, const std::error_code& ec) {
  if (socket->removed || ec == asio::error::operation_aborted) {
    return;
  }
  bool requested = (events == CURL_CSELECT_IN)
                       ? (socket->poll_events & CURL_POLL_IN) != 0
                       : (socket->poll_events & CURL_POLL_OUT) != 0;
  if (!requested) {
    return;
  }
  on_action_(fd, ec ? CURL_CSELECT_ERR : events);
  if (!socket->removed) {
    WaitForEvents(fd, socket);
  }
}

int CurlSocketPoller::OnTimer(CURLM* /*multi*/, long timeout_ms,
                              void* user_data) {
  auto* self = static_cast<CurlSocketPoller*>(user_data);
  if (timeout_ms < 0) {
    self->timer_.Cancel();
  } else {
    self->timer_.Start(Millis(timeout_ms),
                       [self] { self->on_action_(CURL_SOCKET_TIMEOUT, 0); });
  }
  return 0;
}

}  // namespace bilberrypitch
