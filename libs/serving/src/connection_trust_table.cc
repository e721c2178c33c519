// Keeps a bounded number of addresses.
#include "serving/connection_trust_table.h"

namespace bilberrypitch {

void ConnectionTrustTable::OnSign(const std::string& address, Millis now) {
  if (trusts_.size() >= kMaxAddresses && trusts_.count(address) == 0) {
    MakeRoom(now);
  }
  trusts_[address].OnSign(now);
}

bool ConnectionTrustTable::MayReuseConnections(const std::string& address,
                                               Millis now) const {
  auto it = trusts_.find(address);
  return it == trusts_.end() || it->second.MayReuseConnections(now);
}

void ConnectionTrustTable::MakeRoom(Millis now) {
  std::erase_if(trusts_, [now](const auto& entry) {
    return entry.second.MayReuseConnections(now);
  });
  if (trusts_.size() >= kMaxAddresses) {
    trusts_.erase(trusts_.begin());
  }
}

}  // namespace bilberrypitch
