// Messages to and from the other entry instances.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "serving/ownership.h"

namespace bilberrypitch {

class DatagramSocket;
class EventLoop;
namespace schema {
class PeerDatagram;
class PeerItem;
}  // namespace schema

// On the loop's thread only. What is sent in one turn of the loop to one
// machine goes in one datagram. From senders that are not members only
// questions about the store are received.
class PeerMessenger {
 public:
  using Receiver =
      std::function<void(const MachineId& from, const schema::PeerItem& item)>;

  // Throws std::exception when the address can't be bound.
  PeerMessenger(EventLoop* loop, const ClusterMember& self, Receiver receiver);
  ~PeerMessenger();

  // Dropped when the machine is not known.
  void Send(const MachineId& to, schema::PeerItem item);
  // To an instance whose record may have lapsed.
  void SendToAddress(const std::string& address, schema::PeerItem item);
  void Broadcast(const schema::PeerItem& item);
  void SetMember(const ClusterMember& member);
  void RemoveMember(const MachineId& machine);
  // Of this instance.
  const std::string& address() const { return self_.address; }
  const std::map<MachineId, ClusterMember>& peers() const { return peers_; }

 private:
  void Flush();
  void OnDatagram(std::string_view bytes);

  EventLoop* const loop_;
  const ClusterMember self_;
  const Receiver receiver_;
  std::map<MachineId, ClusterMember> peers_;  // Without this instance.
  std::map<std::string, schema::PeerDatagram> queued_;  // By address.
  bool flush_posted_ = false;
  std::unique_ptr<DatagramSocket> socket_;
};

}  // namespace bilberrypitch
