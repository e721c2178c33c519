// Connection trust by the address of the upstream, for calls that are made to
// an address and not to one start of an upstream.
//
// No I/O: time comes in as an argument.
#pragma once

#include <map>
#include <string>

#include "serving/connection_trust.h"

namespace bilberrypitch {

// Not thread-safe.
class ConnectionTrustTable {
 public:
  // Beyond as many addresses with signs, earlier signs are forgotten, first
  // those that no longer matter.
  static constexpr size_t kMaxAddresses = 4096;

  void OnSign(const std::string& address, Millis now);
  bool MayReuseConnections(const std::string& address, Millis now) const;
  size_t addresses() const { return trusts_.size(); }

 private:
  void MakeRoom(Millis now);

  std::map<std::string, ConnectionTrust> trusts_;
};

}  // namespace bilberrypitch
