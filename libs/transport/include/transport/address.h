// An IPv4 address with a port, written as "10.0.0.1:80" in settings and on the
// wire.
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

// Returns nothing unless `text` is an IPv4 address and a port of at least 1.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace bilberrypitch
