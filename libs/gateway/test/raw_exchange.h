// Sends bytes to an instance as they stand and reads the response as strictly
// as a caller may.
#pragma once

#include <sys/time.h>

#include <asio.hpp>
#include <atomic>
#include <string>
#include <thread>

#include "gateway_fixture.h"
#include "strict_http.h"

namespace bilberrypitch {

class RawExchange {
 public:
  // Reads until the response is complete and nothing follows it, or until the
  // instance closes the connection. `after_interim`: what is sent once an
  // interim response has come.
  RawExchange(const std::string& address, std::string request,
              StrictCaller caller, std::string after_interim = "")
      : caller_(std::move(caller)),
        after_interim_(std::move(after_interim)),
        thread_([this, address, request = std::move(request)] {
          Run(address, request);
          done_ = true;
        }) {}
  ~RawExchange() { thread_.join(); }

  bool done() const { return done_; }
  // All that the instance has written.
  const std::string& bytes() const { return bytes_; }
  // Whether the instance has closed the connection.
  bool ended() const { return ended_; }
  StrictMessage response() const {
    return ReadStrictResponse(bytes_, caller_, ended_);
  }

 private:
  // How long to wait for more behind a complete response.
  static constexpr timeval kSilence{0, 150 * 1000};
  // How long to wait for a response.
  static constexpr timeval kTimeout{5, 0};

  void Run(const std::string& address, const std::string& request) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const size_t colon = address.find(':');
    asio::error_code ec;
    socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1))},
        ec);
    asio::write(socket, asio::buffer(request), ec);
    char buf[16 << 10];
    while (true) {
      const timeval wait = response().sound() ? kSilence : kTimeout;
      setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait,
                 sizeof(wait));
      const ssize_t n = recv(socket.native_handle(), buf, sizeof(buf), 0);
      if (n <= 0) {
        ended_ = n == 0;
        return;
      }
      bytes_.append(buf, static_cast<size_t>(n));
      if (!after_interim_.empty()) {
        asio::write(socket, asio::buffer(std::exchange(after_interim_, "")),
                    ec);
      }
    }
  }

  const StrictCaller caller_;
  std::string after_interim_;
  std::string bytes_;
  bool ended_ = false;
  std::atomic<bool> done_ = false;
  std::thread thread_;
};

// The text of a request to route `target` of the fixture.
inline std::string RawRequest(const std::string& method,
                              const std::string& target, const std::string& id,
                              const std::string& version = "HTTP/1.1",
                              const std::string& fields = "") {
  const bool has_body = method == "POST";
  return method + " " + target + " " + version +
         "\r\nHost: h\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 3000\r\nAuthorization: Token k1\r\n" + fields +
         (has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

}  // namespace bilberrypitch
