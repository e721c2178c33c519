// The choice of an upstream.
#include "dispatch/upstream_choice.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

// Beyond one batch a request would queue in the engine, out of our order.
constexpr double kMostFullness = 1.25;
constexpr double kAffinitySlack = 0.25;
// What reaching into another zone counts.
constexpr double kOtherZone = 0.05;

}  // namespace

double Fullness(const UpstreamLoad& load) {
  double running =
      std::max<double>(load.reported + load.own_since, load.own_in_flight);
  return running / std::max<uint32_t>(load.batch_slots, 1);
}

std::optional<size_t> ChooseUpstream(const std::vector<UpstreamLoad>& loads,
                                     uint64_t affinity, uint64_t draw) {
  std::vector<size_t> open;
  for (size_t i = 0; i < loads.size(); ++i) {
    if (loads[i].own_in_flight < loads[i].allowed &&
        Fullness(loads[i]) < kMostFullness) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  auto cost = [&](size_t i) {
    return Fullness(loads[i]) + (loads[i].same_zone ? 0 : kOtherZone);
  };
  size_t first = open[draw % open.size()];
  size_t second = open[(draw / open.size()) % open.size()];
  size_t lower = cost(second) < cost(first) ? second : first;
  if (affinity == 0) {
    return lower;
  }
  size_t favourite = open[0];
  uint64_t best = 0;
  for (size_t i : open) {
    uint64_t score = StableHash(loads[i].upstream.str()) ^ affinity;
    score *= 0x9E3779B97F4A7C15ULL;
    if (score >= best) {
      best = score;
      favourite = i;
    }
  }
  bool near = cost(favourite) <= cost(lower) + kAffinitySlack;
  return near ? favourite : lower;
}

}  // namespace bilberrypitch
