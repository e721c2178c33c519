// Exchanges datagrams with the other instances.
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

// Items sent to one machine in the same iteration of the event loop share a
// datagram, up to a maximum number of items. Of senders that are not members,
// only freshness queries are received. Delivery is not guaranteed. Must be used
// on the event loop's thread only.
class PeerMessenger {
 public:
  using ReceiveCallback =
      std::function<void(const MachineId& from, const schema::PeerItem& item)>;

  // Throws std::exception if the address of `self` can't be bound.
  PeerMessenger(EventLoop* loop, const ClusterMember& self,
                ReceiveCallback on_receive);
  ~PeerMessenger();

  // Drops the item if `to` is not a known member.
  void Send(const MachineId& to, schema::PeerItem item);
  // For an instance that may no longer be a member because its record has
  // expired.
  void SendToAddress(const std::string& address, schema::PeerItem item);
  // Sends the item to all other members.
  void Broadcast(const schema::PeerItem& item);
  void SetMember(const ClusterMember& member);
  void RemoveMember(const MachineId& machine);
  // The address of this instance.
  const std::string& address() const { return self_.address; }
  const std::map<MachineId, ClusterMember>& peers() const { return peers_; }

 private:
  void Flush();
  void OnDatagram(std::string_view bytes);

  EventLoop* const loop_;
  const ClusterMember self_;
  const ReceiveCallback on_receive_;
  std::map<MachineId, ClusterMember> peers_;  // All members but this instance.
  // Keyed by address.
  std::map<std::string, schema::PeerDatagram> queued_datagrams_;
  bool flush_posted_ = false;
  std::unique_ptr<DatagramSocket> socket_;
};

}  // namespace bilberrypitch
