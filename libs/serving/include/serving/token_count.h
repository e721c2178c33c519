// Bounds of the numbers of tokens that callers and other instances state.
#pragma once

#include <algorithm>
#include <cstdint>

namespace bilberrypitch {

// The most tokens that a request may state for its prompt, for one part of it
// or for its output. Far more than an engine holds, and so few that sums over
// all requests of a fleet don't overflow.
inline constexpr int64_t kMaxStatedTokens = 1'000'000'000'000;

// The most tokens of the requests of one instance together, so that sums over
// all instances don't overflow either.
inline constexpr int64_t kMaxTotalTokens = kMaxStatedTokens * 1000;

// Returns what counts of a number that another instance states of a request.
constexpr int64_t BoundTokens(int64_t stated) {
  return std::clamp<int64_t>(stated, 0, kMaxStatedTokens);
}

// The same for a sum over requests.
constexpr int64_t BoundTotalTokens(int64_t stated) {
  return std::clamp<int64_t>(stated, 0, kMaxTotalTokens);
}

}  // namespace bilberrypitch
