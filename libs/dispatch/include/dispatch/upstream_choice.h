// Picks one of the upstreams that could run a request now.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

struct UpstreamLoad {
  UpstreamId upstream;
  double reported = 0;     // Running and waiting, as the upstream last said.
  uint32_t own_since = 0;  // In flight from here beyond what that counted.
  uint32_t own_in_flight = 0;
  uint32_t batch_slots = 1;
  uint32_t allowed = 0;  // Most in flight from here; 0: none now.
  bool same_zone = false;
};

// The index of the choice; none when every one is full. `affinity` is a hash
// of the prompt's beginning: its place in the order is kept while that
// upstream is not much fuller than the lower of two others, since reports lag.
// `draw` is a number from the caller's generator.
std::optional<size_t> ChooseUpstream(const std::vector<UpstreamLoad>& loads,
                                     uint64_t affinity, uint64_t draw);

// How full an upstream is, in batches: 1 is a whole batch.
double Fullness(const UpstreamLoad& load);

}  // namespace bilberrypitch
