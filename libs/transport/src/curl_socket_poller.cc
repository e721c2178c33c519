// Waits for libcurl's sockets with Asio.
#include "curl_socket_poller.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <asio.hpp>
#include <cerrno>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kResponseStart = "HTTP/1.";

// Whether there is nothing to read and never will be.
bool HasEnded(int fd) {
  char c = 0;
  ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

uint16_t LocalPortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  bool known =
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  return known ? ntohs(address.sin_port) : 0;
}

}  // namespace

class CurlSocket {
 public:
  CurlSocket(asio::io_context& context, int opened_fd)
      : fd(opened_fd), descriptor(context, opened_fd) {}
  ~CurlSocket() { descriptor.release(); }
  CurlSocket(const CurlSocket&) = delete;
  CurlSocket& operator=(const CurlSocket&) = delete;

  const int fd;
  asio::posix::stream_descriptor descriptor;
  // CURL_POLL_IN, CURL_POLL_OUT or both; 0 while no transfer waits.
  int poll_events = 0;
  // Whether it is watched while no transfer waits for it.
  bool idle = false;
  std::string address;  // Of the peer; set while idle.
  bool read_wait_pending = false;
  bool write_wait_pending = false;
  bool closed = false;
};

CurlSocketPoller::CurlSocketPoller(EventLoop* loop, CURLM* multi, Hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)), timer_(loop) {
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

CurlSocketPoller::~CurlSocketPoller() = default;

void CurlSocketPoller::Attach(CURL* easy) {
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpen);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t CurlSocketPoller::OnOpen(void* user_data,
                                       curlsocktype /*purpose*/,
                                       curl_sockaddr* address) {
  auto* self = static_cast<CurlSocketPoller*>(user_data);
  int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                  address->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  self->sockets_[fd] = std::make_shared<CurlSocket>(self->loop_->context(), fd);
  return fd;
}

int CurlSocketPoller::OnClose(void* user_data, curl_socket_t fd) {
  auto* self = static_cast<CurlSocketPoller*>(user_data);
  auto it = self->sockets_.find(fd);
  if (it != self->sockets_.end()) {
    it->second->closed = true;
    it->second->descriptor.release();
    self->sockets_.erase(it);
  }
  if (self->resets_on_close_) {
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  return close(fd);
}

CurlSocketPtr CurlSocketPoller::Find(curl_socket_t fd) const {
  auto it = sockets_.find(fd);
  return it == sockets_.end() ? nullptr : it->second;
}

bool CurlSocketPoller::IsOpen(const CurlSocketPtr& socket) {
  return !socket->closed;
}

bool CurlSocketPoller::InUse(const CurlSocketPtr& socket) {
  return socket->poll_events != 0;
}

TrailingBytes CurlSocketPoller::ShutDownIfReadable(
    const CurlSocketPtr& socket) {
  std::array<char, kResponseStart.size()> buf{};
  ssize_t n = recv(socket->fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
  if (n <= 0) {
    return TrailingBytes::kNone;
  }
  shutdown(socket->fd, SHUT_RDWR);
  return std::string_view(buf.data(), n) == kResponseStart
             ? TrailingBytes::kNextResponse
             : TrailingBytes::kUnknown;
}

int CurlSocketPoller::OnSocket(CURL* easy, curl_socket_t fd, int poll_events,
                               void* user_data, void* /*socket_data*/) {
  static_cast<CurlSocketPoller*>(user_data)->UpdateSocket(easy, fd,
                                                          poll_events);
  return 0;
}

void CurlSocketPoller::UpdateSocket(CURL* easy, int fd, int poll_events) {
  CurlSocketPtr socket = Find(fd);
  if (!socket) {
    return;
  }
  if (poll_events == CURL_POLL_REMOVE) {
    socket->poll_events = 0;
    hooks_.on_released(easy, socket);
    return;
  }
  socket->poll_events = poll_events;
  socket->idle = false;
  hooks_.on_used(easy, socket);
  WaitForEvents(socket);
}

void CurlSocketPoller::WatchIdle(const CurlSocketPtr& socket,
                                 const std::string& address) {
  socket->idle = true;
  socket->address = address;
  WaitForRead(socket);
}

void CurlSocketPoller::EndIdleWatch(const std::string& address,
                                    uint16_t local_port) {
  for (const auto& [fd, socket] : sockets_) {
    if (socket->idle && socket->address == address &&
        LocalPortOf(fd) == local_port) {
      socket->idle = false;
    }
  }
}

void CurlSocketPoller::WaitForRead(const CurlSocketPtr& socket) {
  if (socket->read_wait_pending) {
    return;
  }
  socket->read_wait_pending = true;
  socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, socket](const asio::error_code& ec) {
                                  socket->read_wait_pending = false;
                                  OnSocketReady(socket, CURL_CSELECT_IN, ec);
                                });
}

void CurlSocketPoller::WaitForEvents(const CurlSocketPtr& socket) {
  if ((socket->poll_events & CURL_POLL_IN) != 0) {
    WaitForRead(socket);
  }
  if ((socket->poll_events & CURL_POLL_OUT) != 0 &&
      !socket->write_wait_pending) {
    socket->write_wait_pending = true;
    socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                  [this, socket](const asio::error_code& ec) {
                                    socket->write_wait_pending = false;
                                    OnSocketReady(socket, CURL_CSELECT_OUT, ec);
                                  });
  }
}

void CurlSocketPoller::OnSocketReady(const CurlSocketPtr& socket, int events,
                                     const std::error_code& ec) {
  if (socket->closed || ec == asio::error::operation_aborted) {
    return;
  }
  if (socket->idle) {
    OnIdleSocketReadable(socket);
    return;
  }
  bool requested = (events == CURL_CSELECT_IN)
                       ? (socket->poll_events & CURL_POLL_IN) != 0
                       : (socket->poll_events & CURL_POLL_OUT) != 0;
  if (!requested) {
    return;
  }
  hooks_.on_action(socket->fd, ec ? CURL_CSELECT_ERR : events);
  if (!socket->closed) {
    WaitForEvents(socket);
  }
}

void CurlSocketPoller::OnIdleSocketReadable(const CurlSocketPtr& socket) {
  if (ShutDownIfReadable(socket) != TrailingBytes::kNone) {
    socket->idle = false;
    hooks_.on_unsolicited_bytes(socket->address);
  } else if (!HasEnded(socket->fd)) {
    WaitForRead(socket);
  }
}

int CurlSocketPoller::OnTimer(CURLM* /*multi*/, long timeout_ms,
                              void* user_data) {
  auto* self = static_cast<CurlSocketPoller*>(user_data);
  if (timeout_ms < 0) {
    self->timer_.Cancel();
  } else {
    self->timer_.Start(Millis(timeout_ms), [self] {
      self->hooks_.on_action(CURL_SOCKET_TIMEOUT, 0);
    });
  }
  return 0;
}

}  // namespace bilberrypitch
