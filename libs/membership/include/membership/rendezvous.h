// Rendezvous hashing: all who see the same candidates pick the same one, and a
// change of one candidate moves only what it held.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrypitch {

// The index of the candidate for `key`; `candidates` is not empty.
size_t PickByRendezvous(std::string_view key,
                        const std::vector<std::string>& candidates);

}  // namespace bilberrypitch
