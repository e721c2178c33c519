// One-way messages between entry instances (ZeroMQ, hidden in the source).
// Messages may be lost, doubled or late; nothing is queued for a peer that
// does not take them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberrypitch {

namespace schema {
class Envelope;
}

class PeerMesh {
 public:
  using Receiver = std::function<void(schema::Envelope)>;

  struct Counters {
    uint64_t messages_sent = 0;
    uint64_t bytes_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_received = 0;
    uint64_t dropped = 0;
  };

  // Binds `address` (IP:port) and calls `receiver` from the mesh's thread.
  PeerMesh(std::string address, Receiver receiver);
  ~PeerMesh();

  // Thread-safe, never blocks. `peer_address` is IP:port.
  void Send(const std::string& peer_address, const schema::Envelope& envelope);
  Counters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
