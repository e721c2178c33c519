// One workspace's tokens at this instance.
//
// The workspace's rate and burst are cut into parts, and each part belongs to
// one instance. A part mints by itself. Tokens can be moved to an instance that
// lacks them, and the right to hold them moves along: it comes back when they
// are spent, given back or expire. So, over all instances and at all times,
//     tokens held + tokens on their way <= burst,
// and what is spent in any time t is at most burst + rate * t.
//
// A token counts as received by the workspace at the moment when it is reserved
// for a request that is dispatched; what was reserved and not used is taken off
// again at the moment when it is refunded.
//
// Moved tokens live for a fixed time on the receiver's clock. The next owner of
// a dead instance's part waits longer than that before it mints.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

// What one peer is told of one workspace; all totals are cumulative.
struct TokenPairTotals {
  double moved = 0;
  double returned = 0;
  double gave_back = 0;
  double wanted = 0;
};

// Longest time between a peer's clock reading and the use of tokens that came
// with it.
inline constexpr Millis kTokenLife{5000};
// Tokens older than this on arrival are not taken.
inline constexpr Millis kTokenArrival{2000};
// How long the next owner of a part waits unless the last one left none with
// others: above kTokenLife by the clocks' margin.
inline constexpr Millis kPartWait{6000};

// Not thread-safe; its owner holds the lock of the shard.
class TokenAccount {
 public:
  // The part that this instance owns now. Zero: it owns none.
  void SetPart(double rate, double burst, Millis now);

  // Takes `n` tokens, or none and false.
  bool Reserve(double n, Millis now);
  bool CanReserve(double n, Millis now);
  // Returns what was reserved and not used, up to the cap.
  void Refund(double n, Millis now);

  // What requests that wait here lack, for peers to know; 0: nothing waits.
  void SetWanted(double tokens) { wanted_ = tokens; }
  double wanted() const { return wanted_; }

  // Moves up to `n` tokens to a peer and returns how many.
  double Move(const BootId& to, double n, Millis now);
  // Totals that came from a peer. `age` is how long ago, on this instance's
  // clock, the peer can have sent them at the earliest.
  void OnTotals(const BootId& from, const TokenPairTotals& totals, Millis age,
                Millis now);
  TokenPairTotals TotalsFor(const BootId& peer) const;
  // Peers to which this account's totals are news or still open.
  std::vector<BootId> OpenPeers() const;

  // Gives back what came from peers and is not wanted, and lets expire what
  // is too old.
  void Tick(Millis now);
  // The peer's registration was removed: it spends nothing any more.
  void OnPeerGone(const BootId& peer);

  double Tokens(Millis now);
  double Cap() const;
  // Tokens of this part that others hold or that are on their way.
  double MovedOut() const;
  // How many tokens may be given away: none that this instance needs soon.
  double Spare(Millis now);

 private:
  struct Pair {
    double moved_out = 0;
    double returned_in = 0;   // Of moved_out.
    double gave_back_in = 0;  // Part of returned_in.
    double moved_in = 0;
    double returned_out = 0;  // Of moved_in.
    double gave_back_out = 0;
    Millis expires;  // When what is left of moved_in ends.
    bool changed = true;
  };

  void Refill(Millis now);
  void ReleaseRights(double n);
  void Clip();

  double rate_ = 0;
  double burst_ = 0;
  // Invariant: 0 <= tokens_ <= max(0, Cap()).
  double tokens_ = 0;
  double wanted_ = 0;
  double recent_spending_ = 0;  // Tokens a second, smoothed.
  Millis refilled_at_;
  Millis wanted_until_;
  std::map<BootId, Pair> pairs_;
};

}  // namespace bilberrypitch
