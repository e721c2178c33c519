// Implements CloseLingering.
#include "lingering_close.h"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <utility>

namespace bilberrypitch {
namespace {

namespace asio_ns = restinio::asio_ns;
using Socket = asio_ns::ip::tcp::socket;

constexpr std::chrono::milliseconds kMaxTime{1000};
// More than the kernel's buffers hold of a caller that stops when it has read
// the response.
constexpr size_t kMaxBytes = 8 << 20;
// Below the descriptors that BodyBudgetLimitsFor() reserves.
constexpr int kMaxSockets = 32;

std::atomic<int>& SocketCount() {
  static std::atomic<int> count = 0;
  return count;
}

class LingeringSocket : public std::enable_shared_from_this<LingeringSocket> {
 public:
  explicit LingeringSocket(Socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}
  ~LingeringSocket() { --SocketCount(); }
  LingeringSocket(const LingeringSocket&) = delete;
  LingeringSocket& operator=(const LingeringSocket&) = delete;

  void Start() {
    asio_ns::error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    timer_.expires_after(kMaxTime);
    timer_.async_wait([self = shared_from_this()](const auto& ec) {
      if (!ec) {
        self->Close();
      }
    });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(
        asio_ns::buffer(buffer_),
        [self = shared_from_this()](const auto& ec, size_t bytes) {
          self->bytes_ += bytes;
          if (ec || self->bytes_ > kMaxBytes) {
            self->Close();
          } else {
            self->Read();
          }
        });
  }

  void Close() {
    asio_ns::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

  Socket socket_;
  asio_ns::steady_timer timer_;
  std::array<char, 16 << 10> buffer_{};
  size_t bytes_ = 0;
};

}  // namespace

void CloseLingering(Socket socket) {
  if (++SocketCount() > kMaxSockets) {
    --SocketCount();
    asio_ns::error_code ignored;
    socket.close(ignored);
    return;
  }
  std::make_shared<LingeringSocket>(std::move(socket))->Start();
}

}  // namespace bilberrypitch
