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
// machine goes in one datagram.
class PeerLink {
 public:
  using Receiver =
      std::function<void(const MachineId& from, const schema::PeerItem& item)>;

  // Throws std::exception when the address can't be bound.
  PeerLink(EventLoop* loop, const ClusterMember& self, Receiver receiver);
  ~PeerLink();

  // Dropped when the machine is not known.
  void Send(const MachineId& to, schema::PeerItem item);
  void SendAll(const schema::PeerItem& item);
  void SetMember(const ClusterMember& member);
  void RemoveMember(const MachineId& machine);
  const std::map<MachineId, ClusterMember>& peers() const { return peers_; }

 private:
  void Flush();
  void OnDatagram(std::string_view bytes);

  EventLoop* const loop_;
  const ClusterMember self_;
  const Receiver receiver_;
  std::map<MachineId, ClusterMember> peers_;  // Without this instance.
  std::map<MachineId, schema::PeerDatagram> queued_;
  bool flush_posted_ = false;
  std::unique_ptr<DatagramSocket> socket_;
};

}  // namespace bilberrypitch
