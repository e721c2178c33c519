// ZeroMQ push and pull sockets behind PeerMesh. One thread owns the sockets;
// senders hand it messages over a bounded queue.
#include "transport/peer_mesh.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <zmq.hpp>

#include "base/log.h"
#include "schema/peer.pb.h"

namespace bilberrypitch {
namespace {

constexpr int kSendQueueMessages = 256;
constexpr int kHeartbeatMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kReconnectMs = 100;
constexpr int kReconnectMaxMs = 2000;
constexpr int64_t kLargestMessageBytes = 4 << 20;
constexpr size_t kOutboxMessages = 4096;
constexpr size_t kLargestPeerCount = 1024;
constexpr std::chrono::milliseconds kPollPeriod{5};

}  // namespace

class PeerMesh::Impl {
 public:
  Impl(std::string address, Receiver receiver)
      : receiver_(std::move(receiver)), context_(1) {
    pull_ = zmq::socket_t(context_, zmq::socket_type::pull);
    pull_.set(zmq::sockopt::linger, 0);
    pull_.set(zmq::sockopt::maxmsgsize, kLargestMessageBytes);
    pull_.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    pull_.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    pull_.bind("tcp://" + address);
    thread_ = std::thread([this] { Loop(); });
  }

  ~Impl() {
    stopping_ = true;
    thread_.join();
  }

  void Send(const std::string& address, const schema::Envelope& envelope) {
    std::string bytes = envelope.SerializeAsString();
    std::lock_guard lock(lock_);
    if (outbox_.size() >= kOutboxMessages) {
      ++counters_.dropped;
      return;
    }
    outbox_.push_back({address, std::move(bytes)});
  }

  Counters counters() const {
    std::lock_guard lock(lock_);
    return counters_;
  }

 private:
  struct Outgoing {
    std::string address;
    std::string bytes;
  };

  void Loop() {
    while (!stopping_) {
      Flush();
      zmq::pollitem_t item{pull_.handle(), 0, ZMQ_POLLIN, 0};
      zmq::poll(&item, 1, kPollPeriod);
      Receive();
    }
    Flush();
  }

  void Receive() {
    zmq::message_t message;
    while (!stopping_ && pull_.recv(message, zmq::recv_flags::dontwait)) {
      schema::Envelope envelope;
      {
        std::lock_guard lock(lock_);
        ++counters_.messages_received;
        counters_.bytes_received += message.size();
      }
      if (envelope.ParseFromArray(message.data(),
                                  static_cast<int>(message.size()))) {
        receiver_(std::move(envelope));
      } else {
        LogWarning("peers", "A message could not be read.");
      }
    }
  }

  void Flush() {
    std::deque<Outgoing> outgoing;
    {
      std::lock_guard lock(lock_);
      outgoing.swap(outbox_);
    }
    for (const Outgoing& it : outgoing) {
      SendNow(it);
    }
  }

  void SendNow(const Outgoing& it) {
    zmq::socket_t& socket = SocketFor(it.address);
    auto sent = socket.send(zmq::buffer(it.bytes), zmq::send_flags::dontwait);
    std::lock_guard lock(lock_);
    if (sent) {
      ++counters_.messages_sent;
      counters_.bytes_sent += it.bytes.size();
    } else {
      ++counters_.dropped;
    }
  }

  zmq::socket_t& SocketFor(const std::string& address) {
    auto it = push_.find(address);
    if (it != push_.end()) {
      return it->second;
    }
    if (push_.size() >= kLargestPeerCount) {
      push_.clear();
    }
    zmq::socket_t socket(context_, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
    socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    socket.connect("tcp://" + address);
    return push_.emplace(address, std::move(socket)).first->second;
  }

  Receiver receiver_;
  zmq::context_t context_;
  zmq::socket_t pull_;
  std::unordered_map<std::string, zmq::socket_t> push_;  // By peer address.
  mutable std::mutex lock_;  // Guards the outbox and the counters.
  std::deque<Outgoing> outbox_;
  Counters counters_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

PeerMesh::PeerMesh(std::string address, Receiver receiver)
    : impl_(std::make_unique<Impl>(std::move(address), std::move(receiver))) {}

PeerMesh::~PeerMesh() = default;

void PeerMesh::Send(const std::string& peer_address,
                    const schema::Envelope& envelope) {
  impl_->Send(peer_address, envelope);
}

PeerMesh::Counters PeerMesh::counters() const { return impl_->counters(); }

}  // namespace bilberrypitch
