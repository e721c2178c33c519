// Implements DatagramSocket with Asio, and the parsing of addresses.
#include "transport/datagram_socket.h"

#include <array>
#include <asio.hpp>
#include <charconv>
#include <stdexcept>

#include "transport/address.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// The largest payload of a UDP datagram over IPv4.
constexpr size_t kMaxDatagramBytes = 65507;

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Address address;
  address.ip = std::string(text.substr(0, colon));
  asio::error_code ip_error;
  asio::ip::make_address_v4(address.ip, ip_error);
  std::string_view port = text.substr(colon + 1);
  auto end = port.data() + port.size();
  auto parsed = std::from_chars(port.data(), end, address.port);
  bool port_valid = parsed.ec == std::errc() && parsed.ptr == end;
  if (ip_error || !port_valid || address.port == 0) {
    return std::nullopt;
  }
  return address;
}

class DatagramSocket::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop* loop, const std::string& address, ReceiveCallback on_receive)
      : socket_(loop->context()), on_receive_(std::move(on_receive)) {
    auto parsed = ParseAddress(address);
    if (!parsed) {
      throw std::runtime_error("not an IPv4 address with a port: " + address);
    }
    asio::ip::udp::endpoint endpoint(asio::ip::make_address(parsed->ip),
                                     parsed->port);
    socket_.open(endpoint.protocol());
    socket_.set_option(asio::ip::udp::socket::reuse_address(true));
    socket_.bind(endpoint);
    socket_.non_blocking(true);
  }

  void Receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [self = shared_from_this()](const asio::error_code& ec, size_t length) {
          if (ec == asio::error::operation_aborted || self->closed_) {
            return;
          }
          if (!ec) {
            std::string from = self->sender_.address().to_string() + ":" +
                               std::to_string(self->sender_.port());
            self->on_receive_(std::string_view(self->buffer_.data(), length),
                              from);
          }
          self->Receive();
        });
  }

  void Send(const std::string& to, std::string_view bytes) {
    auto parsed = ParseAddress(to);
    if (!parsed) {
      ++dropped_;
      return;
    }
    asio::error_code ec;
    asio::ip::udp::endpoint endpoint(asio::ip::make_address(parsed->ip, ec),
                                     parsed->port);
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), endpoint, 0, ec);
    if (ec) {
      ++dropped_;
    }
  }

  void Close() {
    closed_ = true;
    asio::error_code ec;
    socket_.close(ec);
  }

  uint64_t dropped() const { return dropped_; }

 private:
  asio::ip::udp::socket socket_;
  const ReceiveCallback on_receive_;
  asio::ip::udp::endpoint sender_;  // Of the datagram in `buffer_`.
  std::array<char, kMaxDatagramBytes> buffer_;
  uint64_t dropped_ = 0;
  bool closed_ = false;
};

DatagramSocket::DatagramSocket(EventLoop* loop, const std::string& address,
                               ReceiveCallback on_receive)
    : impl_(std::make_shared<Impl>(loop, address, std::move(on_receive))) {
  impl_->Receive();
}

DatagramSocket::~DatagramSocket() { impl_->Close(); }

void DatagramSocket::Send(const std::string& to, std::string_view bytes) {
  impl_->Send(to, bytes);
}

uint64_t DatagramSocket::dropped_count() const { return impl_->dropped(); }

}  // namespace bilberrypitch
