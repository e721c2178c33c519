// The targets of requests that one instance relays to another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bilberrypitch {

// The APIs that callers can use.
enum class CallerApi : uint8_t { kPlatform, kCompletions };

struct RelayedTarget {
  CallerApi api = CallerApi::kPlatform;
  bool rate_is_charged = false;  // By the instance that relays.
  std::string target;            // As the caller sent it.
};

std::string RelayTarget(CallerApi api, bool rate_is_charged,
                        const std::string& target);
// Nothing if the target is of another kind.
std::optional<RelayedTarget> ParseRelayTarget(const std::string& target);

}  // namespace bilberrypitch
