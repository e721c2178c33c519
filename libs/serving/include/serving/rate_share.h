// One workspace's tokens at this instance.
//
// The workspace's rate and burst are divided over the live instances: a small
// equal part each, the rest in proportion to the demand that each instance has
// told the others. An instance mints its part only; one that has just started
// begins empty. So the sum over all instances keeps to the limit as far as
// their views agree, and the bound's margin covers the rest.
#pragma once

#include <map>

#include "serving/ids.h"

namespace bilberrypitch {

struct RateLimit {
  double rate_per_s = 0;  // 0: no limit.
  double burst = 0;
};

class RateShare {
 public:
  // `margin` tokens may be spent beyond the limit over all instances.
  void SetLimit(RateLimit limit, double margin, Millis now);
  // The number of live instances, this one included.
  void SetInstances(size_t n, Millis now);
  void OnPeerDemand(const MachineId& peer, double tokens_per_s, Millis now);
  void OnPeerGone(const MachineId& peer);

  // A request of that cost arrived; counts as demand once.
  void OnArrival(double cost, Millis now);
  // Takes the cost, or returns false.
  bool TryTake(double cost, Millis now);
  // Gives back what was taken for a request that did not run.
  void Return(double cost, Millis now);
  // How long until a request of that cost would be let through.
  Millis WaitFor(double cost, Millis now);
  // This instance's demand, to tell the others.
  double Demand(Millis now) const;
  // The part of the whole that this instance mints, 0 to 1.
  double Share(Millis now) const;
  double level(Millis now);

 private:
  struct PeerDemand {
    double tokens_per_s = 0;
    Millis at;
  };

  void Refill(Millis now);
  double Cap(Millis now) const;
  bool Enough(double cost, Millis now) const;

  RateLimit limit_;
  double margin_ = 0;
  size_t instances_ = 1;
  double level_ = 0;  // Below zero after a request larger than the cap.
  Millis refilled_at_;
  bool started_ = false;
  double demand_ = 0;  // Tokens a second, smoothed, at `demand_at_`.
  Millis demand_at_;
  std::map<MachineId, PeerDemand> peers_;
};

}  // namespace bilberrypitch
