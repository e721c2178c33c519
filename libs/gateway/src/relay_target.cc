// Encodes what a relaying instance tells in the target of a request.
#include "gateway/relay_target.h"

#include <string_view>

namespace bilberrypitch {
namespace {

struct Prefix {
  std::string_view text;
  CallerApi api;
  bool rate_is_charged;
};

// A target begins with a slash, which follows these.
constexpr Prefix kPrefixes[] = {
    {"/relay/platform", CallerApi::kPlatform, false},
    {"/relay/charged-platform", CallerApi::kPlatform, true},
    {"/relay/completions", CallerApi::kCompletions, false},
    {"/relay/charged-completions", CallerApi::kCompletions, true},
};

}  // namespace

std::string RelayTarget(CallerApi api, bool rate_is_charged,
                        const std::string& target) {
  for (const Prefix& prefix : kPrefixes) {
    if (prefix.api == api && prefix.rate_is_charged == rate_is_charged) {
      return std::string(prefix.text) + target;
    }
  }
  return target;
}

std::optional<RelayedTarget> ParseRelayTarget(const std::string& target) {
  for (const Prefix& prefix : kPrefixes) {
    size_t size = prefix.text.size();
    if (target.starts_with(prefix.text) && target.substr(size, 1) == "/") {
      return RelayedTarget{prefix.api, prefix.rate_is_charged,
                           target.substr(size)};
    }
  }
  return std::nullopt;
}

}  // namespace bilberrypitch
