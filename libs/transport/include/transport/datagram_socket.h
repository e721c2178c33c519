// A UDP socket for small one-way messages between instances. Datagrams may be
// lost, duplicated or delayed; sending never blocks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrypitch {

class EventLoop;

// Sends and receives datagrams on an event loop. Not thread-safe: use it on the
// loop's thread only.
class DatagramSocket {
 public:
  using ReceiveCallback =
      std::function<void(std::string_view bytes, const std::string& from)>;

  // Throws std::exception when `address` (IP:port) can't be bound. `on_receive`
  // is called with each datagram and the IP:port of its sender.
  DatagramSocket(EventLoop* loop, const std::string& address,
                 ReceiveCallback on_receive);
  ~DatagramSocket();

  // Sends a datagram to `to` (IP:port). A datagram that can't be sent
  // immediately is dropped and counted.
  void Send(const std::string& to, std::string_view bytes);
  // Datagrams dropped by Send since construction.
  uint64_t dropped_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
