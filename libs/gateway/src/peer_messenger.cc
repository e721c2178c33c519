// Sends batched items to the other instances and receives theirs.
#include "gateway/peer_messenger.h"

#include "base/log.h"
#include "schema/cluster.pb.h"
#include "transport/datagram_socket.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

constexpr int kMaxItemsPerDatagram = 40;

}  // namespace

PeerMessenger::PeerMessenger(EventLoop* loop, const ClusterMember& self,
                             ReceiveCallback on_receive)
    : loop_(loop),
      self_(self),
      on_receive_(std::move(on_receive)),
      socket_(std::make_unique<DatagramSocket>(
          loop, self.address,
          [this](std::string_view bytes, const std::string&) {
            OnDatagram(bytes);
          })) {}

PeerMessenger::~PeerMessenger() = default;

void PeerMessenger::SetMember(const ClusterMember& member) {
  if (member.machine != self_.machine) {
    peers_[member.machine] = member;
  }
}

void PeerMessenger::RemoveMember(const MachineId& machine) {
  peers_.erase(machine);
}

void PeerMessenger::Send(const MachineId& to, schema::PeerItem item) {
  auto it = peers_.find(to);
  if (it != peers_.end()) {
    SendToAddress(it->second.address, std::move(item));
  }
}

void PeerMessenger::SendToAddress(const std::string& address,
                                  schema::PeerItem item) {
  schema::PeerDatagram& datagram = queued_datagrams_[address];
  *datagram.add_items() = std::move(item);
  if (datagram.items_size() >= kMaxItemsPerDatagram) {
    Flush();
    return;
  }
  if (!flush_posted_) {
    flush_posted_ = true;
    loop_->Post([this] { Flush(); });
  }
}

void PeerMessenger::Broadcast(const schema::PeerItem& item) {
  for (const auto& [machine, member] : peers_) {
    Send(machine, item);
  }
}

void PeerMessenger::Flush() {
  flush_posted_ = false;
  for (auto& [address, datagram] : queued_datagrams_) {
    datagram.set_machine(self_.machine.str());
    datagram.set_boot(self_.boot.str());
    socket_->Send(address, datagram.SerializeAsString());
  }
  queued_datagrams_.clear();
}

void PeerMessenger::OnDatagram(std::string_view bytes) {
  schema::PeerDatagram datagram;
  if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    LogWarning("peer", "Dropped a malformed datagram of {} bytes.",
               bytes.size());
    return;
  }
  MachineId from(datagram.machine());
  auto it = peers_.find(from);
  bool is_member =
      it != peers_.end() && it->second.boot.str() == datagram.boot();
  for (const schema::PeerItem& item : datagram.items()) {
    // Other items are dropped: their sender is a process that has ended or a
    // member that is not known yet.
    if (is_member || item.has_question()) {
      on_receive_(from, item);
    }
  }
}

}  // namespace bilberrypitch
