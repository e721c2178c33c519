// Implements the sockets and the parsing of messages.
#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr size_t kReadBytes = 65536;
constexpr int kBacklog = 512;
constexpr int kHexBase = 16;

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool Bind(int fd, uint16_t port) {
  sockaddr_in address = LoopbackAddress(port);
  return bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void SetNoDelay(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Waits until the descriptor is ready. Returns false when the time is over.
bool WaitFor(int fd, int16_t events, int64_t deadline_ms) {
  pollfd descriptor{fd, events, 0};
  int64_t left = std::max<int64_t>(0, deadline_ms - NowMs());
  return poll(&descriptor, 1, static_cast<int>(left)) > 0;
}

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

}  // namespace

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    std::swap(fd_, other.fd_);
  }
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

void Socket::Reset() {
  if (fd_ >= 0) {
    linger no_wait{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof(no_wait));
    Close();
  }
}

bool Socket::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

Socket Listen(uint16_t* port) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int on = 1;
  setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!Bind(listener.fd(), *port) || listen(listener.fd(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen");
  }
  *port = PortOf(listener.fd());
  return listener;
}

uint16_t FreePort() {
  while (true) {
    Socket tcp(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    Socket udp(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    if (Bind(tcp.fd(), 0) && Bind(udp.fd(), PortOf(tcp.fd()))) {
      return PortOf(tcp.fd());
    }
  }
}

Socket Connect(uint16_t port, int64_t timeout_ms) {
  Socket connection(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in address = LoopbackAddress(port);
  int result = connect(connection.fd(), reinterpret_cast<sockaddr*>(&address),
                       sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    return Socket();
  }
  if (!WaitFor(connection.fd(), POLLOUT, NowMs() + timeout_ms)) {
    return Socket();
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(connection.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    return Socket();
  }
  int flags = fcntl(connection.fd(), F_GETFL);
  fcntl(connection.fd(), F_SETFL, flags & ~O_NONBLOCK);
  SetNoDelay(connection.fd());
  return connection;
}

int Message::status() const {
  size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

std::string Message::path() const {
  size_t first = start_line.find(' ');
  size_t second = start_line.find(' ', first + 1);
  return second == std::string::npos
             ? ""
             : start_line.substr(first + 1, second - first - 1);
}

std::string Message::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

bool Reader::Fill(int64_t deadline_ms) {
  if (!WaitFor(fd_, POLLIN, deadline_ms)) {
    return false;
  }
  static thread_local std::array<char, kReadBytes> bytes;
  ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
  if (n <= 0) {
    ended_ = true;
    return false;
  }
  buffer_.append(bytes.data(), static_cast<size_t>(n));
  return true;
}

std::optional<std::string> Reader::ReadLine(int64_t deadline_ms) {
  size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill(deadline_ms)) {
      return std::nullopt;
    }
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool Reader::ReadExactly(size_t size, int64_t deadline_ms, std::string* to) {
  while (buffer_.size() < size) {
    if (!Fill(deadline_ms)) {
      to->append(buffer_);
      buffer_.clear();
      return false;
    }
  }
  to->append(buffer_, 0, size);
  buffer_.erase(0, size);
  return true;
}

bool Reader::ReadChunks(int64_t deadline_ms, std::string* to) {
  while (true) {
    std::optional<std::string> line = ReadLine(deadline_ms);
    if (!line) {
      return false;
    }
    size_t size = std::strtoul(line->c_str(), nullptr, kHexBase);
    if (!ReadExactly(size, deadline_ms, to) || !ReadLine(deadline_ms)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Reader::Read(int64_t deadline_ms) {
  Message message;
  std::optional<std::string> line = ReadLine(deadline_ms);
  if (!line) {
    return std::nullopt;
  }
  message.start_line = *line;
  while ((line = ReadLine(deadline_ms)) && !line->empty()) {
    size_t colon = line->find(':');
    size_t value = line->find_first_not_of(' ', colon + 1);
    message.headers.emplace(
        LowerCase(line->substr(0, colon)),
        value == std::string::npos ? "" : line->substr(value));
  }
  if (!line) {
    return std::nullopt;
  }
  if (message.Header("transfer-encoding") == "chunked") {
    message.complete = ReadChunks(deadline_ms, &message.body);
  } else {
    size_t size =
        std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    message.complete = ReadExactly(size, deadline_ms, &message.body);
  }
  return message;
}

std::optional<Message> Call(uint16_t port, const std::string& method,
                            const std::string& target, const std::string& body,
                            int64_t timeout_ms) {
  int64_t deadline = NowMs() + timeout_ms;
  Socket connection = Connect(port, timeout_ms);
  if (!connection.valid()) {
    return std::nullopt;
  }
  connection.Send(method + " " + target +
                  " HTTP/1.1\r\nHost: localhost\r\nContent-Type: "
                  "application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  return Reader(connection.fd()).Read(deadline);
}

}  // namespace review
