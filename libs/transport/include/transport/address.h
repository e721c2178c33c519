// An IP address with a port, as in settings and on the wire: "10.0.0.1:80".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrypitch {

struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string str() const { return ip + ":" + std::to_string(port); }
};

// None unless `text` is an IPv4 address and a port from 1.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace bilberrypitch
