// Division of a rate by demand.
#include "serving/rate_share.h"

#include <algorithm>
#include <cmath>

namespace bilberrypitch {
namespace {

// Part of the limit that is divided equally, whatever the demand.
constexpr double kEqualPart = 0.2;
constexpr double kDemandSeconds = 3.0;  // Smoothing of the demand.
// A peer that was not heard for longer counts with its last word.
constexpr double kFullEnough = 0.9;  // Of the cap: lets a large request pass.

}  // namespace

void RateShare::SetLimit(RateLimit limit, double margin, Millis now) {
  if (started_) {
    Refill(now);
  }
  limit_ = limit;
  margin_ = margin;
  if (!started_) {
    started_ = true;
    refilled_at_ = now;
    demand_at_ = now;
  }
  level_ = std::min(level_, Cap(now));
}

void RateShare::SetInstances(size_t n, Millis now) {
  Refill(now);
  instances_ = std::max<size_t>(1, n);
  level_ = std::min(level_, Cap(now));
}

void RateShare::OnPeerDemand(const MachineId& peer, double tokens_per_s,
                             Millis now) {
  Refill(now);
  peers_[peer] = {tokens_per_s, now};
  level_ = std::min(level_, Cap(now));
}

void RateShare::OnPeerGone(const MachineId& peer) { peers_.erase(peer); }

void RateShare::OnArrival(double cost, Millis now) {
  demand_ = Demand(now) + cost / kDemandSeconds;
  demand_at_ = now;
}

double RateShare::Demand(Millis now) const {
  double seconds = std::max(0.0, (now - demand_at_).seconds());
  return demand_ * std::exp(-seconds / kDemandSeconds);
}

double RateShare::Share(Millis now) const {
  double equal = 1.0 / static_cast<double>(instances_);
  double own = Demand(now);
  double sum = own;
  for (const auto& [peer, it] : peers_) {
    sum += it.tokens_per_s;
  }
  double by_demand = sum > 0 ? own / sum : equal;
  return kEqualPart * equal + (1 - kEqualPart) * by_demand;
}

double RateShare::Cap(Millis now) const {
  return (limit_.burst + margin_) * Share(now);
}

void RateShare::Refill(Millis now) {
  double seconds = std::max(0.0, (now - refilled_at_).seconds());
  refilled_at_ = now;
  double minted = limit_.rate_per_s * Share(now) * seconds;
  level_ = std::min(level_ + minted, std::max(level_, Cap(now)));
}

bool RateShare::Enough(double cost, Millis now) const {
  return level_ >= cost || level_ >= kFullEnough * Cap(now);
}

bool RateShare::TryTake(double cost, Millis now) {
  if (limit_.rate_per_s <= 0) {
    return true;
  }
  Refill(now);
  if (!Enough(cost, now)) {
    return false;
  }
  level_ -= cost;
  return true;
}

void RateShare::Return(double cost, Millis now) {
  if (limit_.rate_per_s <= 0) {
    return;
  }
  Refill(now);
  level_ = std::min(level_ + cost, std::max(level_, Cap(now)));
}

Millis RateShare::WaitFor(double cost, Millis now) {
  if (limit_.rate_per_s <= 0) {
    return Millis(0);
  }
  Refill(now);
  if (Enough(cost, now)) {
    return Millis(0);
  }
  double needed = std::min(cost, kFullEnough * Cap(now)) - level_;
  double rate = limit_.rate_per_s * Share(now);
  constexpr double kLongestSeconds = 60;
  double seconds = rate > 0 ? needed / rate : kLongestSeconds;
  return Millis(static_cast<int64_t>(std::min(seconds, kLongestSeconds) * 1000) +
                1);
}

double RateShare::level(Millis now) {
  Refill(now);
  return level_;
}

}  // namespace bilberrypitch
