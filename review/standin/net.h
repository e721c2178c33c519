// Blocking HTTP/1.1 over loopback sockets, for stand-ins and clients.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);

// A socket that is closed by its destructor.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Close();
  // Closes the connection with a reset.
  void Reset();
  // Returns false if the peer is gone.
  bool Send(const std::string& bytes) const;

 private:
  int fd_;
};

// Listens on a free TCP port of 127.0.0.1, and stores it in `port`.
Socket Listen(uint16_t* port);
// Returns a port that is free for TCP and UDP now.
uint16_t FreePort();
Socket Connect(uint16_t port, int64_t timeout_ms);

// A request or a response.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Names in lower case;
                                               // the first of each counts.
  std::string body;
  bool complete = false;  // The body ended as its framing says.
  int status() const;     // Of a response.
  std::string path() const;
  std::string Header(const std::string& name) const;
};

// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Returns nothing if the connection ended, or the time was over, before the
  // head was complete.
  std::optional<Message> Read(int64_t deadline_ms);
  // The peer has closed the connection.
  bool ended() const { return ended_; }

 private:
  bool Fill(int64_t deadline_ms);
  bool ReadExactly(size_t size, int64_t deadline_ms, std::string* to);
  std::optional<std::string> ReadLine(int64_t deadline_ms);
  bool ReadChunks(int64_t deadline_ms, std::string* to);

  const int fd_;
  std::string buffer_;
  bool ended_ = false;
};

// Sends a request on a new connection and reads its response.
std::optional<Message> Call(uint16_t port, const std::string& method,
                            const std::string& target, const std::string& body,
                            int64_t timeout_ms);

}  // namespace review
