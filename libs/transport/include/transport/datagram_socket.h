// Datagrams between entry instances (UDP): one-way, small, may be lost,
// doubled or late, and never block the sender.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrypitch {

class EventLoop;

// Used on the loop's thread only.
class DatagramSocket {
 public:
  using ReceiveCallback =
      std::function<void(std::string_view bytes, const std::string& from)>;

  // Throws std::exception when `address` (IP:port) can't be bound. The
  // receiver gets the sender as IP:port.
  DatagramSocket(EventLoop* loop, const std::string& address,
                 ReceiveCallback receiver);
  ~DatagramSocket();

  // Drops what the system does not take at once, and counts it.
  void Send(const std::string& to, std::string_view bytes);
  uint64_t dropped_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
