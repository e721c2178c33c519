// Implements ResponseBudget.
#include "transport/response_budget.h"

#include <algorithm>
#include <limits>

namespace bilberrypitch {
namespace {

constexpr int64_t kMemoryDivisor = 8;
constexpr int64_t kDefaultMemoryMb = 256;
// The buffer of a body has up to twice the size that is used. A single response
// of the largest size fits, with its head.
constexpr size_t kGrowthFactor = 2;
constexpr size_t kHeadRoom = 1 << 20;

}  // namespace

size_t ResponseBudgetFor(int64_t memory_mb) {
  constexpr int64_t kMostMb = std::numeric_limits<int64_t>::max() >> 20;
  const int64_t memory =
      std::min(memory_mb > 0 ? memory_mb : kDefaultMemoryMb, kMostMb) << 20;
  return std::max(static_cast<size_t>(memory / kMemoryDivisor),
                  kGrowthFactor * HttpCall().max_response_bytes + kHeadRoom);
}

void ResponseBudget::Set(CallId call, const std::string& address,
                         size_t bytes) {
  auto [it, added] = responses_.try_emplace(call);
  if (added) {
    it->second.address = address;
  }
  bytes_held_ = bytes_held_ - it->second.bytes + bytes;
  it->second.bytes = bytes;
}

void ResponseBudget::Remove(CallId call) {
  auto it = responses_.find(call);
  if (it != responses_.end()) {
    bytes_held_ -= it->second.bytes;
    responses_.erase(it);
  }
}

std::optional<CallId> ResponseBudget::NextEnding() {
  if (!exceeded()) {
    return std::nullopt;
  }
  std::unordered_map<std::string, size_t> held_by_address;
  for (const auto& [call, response] : responses_) {
    held_by_address[response.address] += response.bytes;
  }
  auto most = std::max_element(
      held_by_address.begin(), held_by_address.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  auto largest = responses_.end();
  for (auto it = responses_.begin(); it != responses_.end(); ++it) {
    const bool is_larger =
        largest == responses_.end() || it->second.bytes > largest->second.bytes;
    if (it->second.address == most->first && is_larger) {
      largest = it;
    }
  }
  const CallId call = largest->first;
  Remove(call);
  return call;
}

}  // namespace bilberrypitch
