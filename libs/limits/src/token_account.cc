// Tokens of one workspace at one instance.
#include "limits/token_account.h"

#include <algorithm>
#include <cmath>

#include "base/check.h"

namespace bilberrypitch {
namespace {

constexpr double kEpsilon = 1e-6;
// What was moved here and is not wanted goes back after this time.
constexpr Millis kKeepUnwanted{1000};
// How far ahead an instance keeps tokens for its own requests.
constexpr double kOwnNeedSeconds = 0.5;
constexpr double kSmoothingSeconds = 2.0;

}  // namespace

double TokenAccount::Cap() const {
  double cap = burst_;
  for (const auto& [boot, it] : pairs_) {
    cap -= it.moved_out - it.returned_in;
    cap += it.moved_in - it.returned_out;
  }
  return cap;
}

double TokenAccount::MovedOut() const {
  double sum = 0;
  for (const auto& [boot, it] : pairs_) {
    sum += it.moved_out - it.returned_in;
  }
  return sum;
}

void TokenAccount::Clip() {
  tokens_ = std::clamp(tokens_, 0.0, std::max(0.0, Cap()));
}

void TokenAccount::Refill(Millis now) {
  double seconds = std::max(0.0, (now - refilled_at_).seconds());
  refilled_at_ = now;
  recent_spending_ *= std::exp(-seconds / kSmoothingSeconds);
  tokens_ = std::min(tokens_ + rate_ * seconds, std::max(0.0, Cap()));
  BP_CHECK(tokens_ >= 0 && tokens_ <= std::max(0.0, Cap()) + kEpsilon,
           "tokens keep to the cap");
}

void TokenAccount::SetPart(double rate, double burst, Millis now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  Clip();
}

bool TokenAccount::CanReserve(double n, Millis now) {
  Refill(now);
  return tokens_ >= n;
}

bool TokenAccount::Reserve(double n, Millis now) {
  if (!CanReserve(n, now)) {
    return false;
  }
  tokens_ -= n;
  recent_spending_ += n / kSmoothingSeconds;
  ReleaseRights(n);
  Clip();
  return true;
}

// Rights to hold moved tokens go back when as many tokens are spent.
void TokenAccount::ReleaseRights(double n) {
  for (auto& [boot, it] : pairs_) {
    double part = std::min(n, it.moved_in - it.returned_out);
    if (part > 0) {
      it.returned_out += part;
      it.changed = true;
      n -= part;
    }
  }
}

void TokenAccount::Refund(double n, Millis now) {
  Refill(now);
  tokens_ += std::max(0.0, n);
  Clip();
}

double TokenAccount::Move(const BootId& to, double n, Millis now) {
  Refill(now);
  // Only own tokens move on, so that what came from one peer goes back to it.
  double own = std::min(tokens_, std::max(0.0, burst_ - MovedOut()));
  double moved = std::clamp(n, 0.0, own);
  if (moved <= 0) {
    return 0;
  }
  Pair& it = pairs_[to];
  tokens_ -= moved;
  it.moved_out += moved;
  it.changed = true;
  Clip();
  return moved;
}

void TokenAccount::OnTotals(const BootId& from, const TokenPairTotals& totals,
                            Millis age, Millis now) {
  Refill(now);
  Pair& it = pairs_[from];
  double returned = totals.returned - it.returned_in;
  if (returned > 0) {
    it.returned_in = std::min(totals.returned, it.moved_out);
    it.changed = true;
  }
  double gave_back = totals.gave_back - it.gave_back_in;
  if (gave_back > 0) {
    it.gave_back_in = totals.gave_back;
    tokens_ += gave_back;
  }
  double moved = totals.moved - it.moved_in;
  if (moved > 0) {
    it.moved_in = totals.moved;
    it.changed = true;
    if (age <= kTokenArrival) {
      tokens_ += moved;
      it.expires = now - age + kTokenLife;
    } else {
      it.returned_out += moved;  // Too old: the right goes back alone.
    }
  }
  Clip();
}

TokenPairTotals TokenAccount::TotalsFor(const BootId& peer) const {
  TokenPairTotals totals;
  totals.wanted = wanted_;
  auto it = pairs_.find(peer);
  if (it != pairs_.end()) {
    totals.moved = it->second.moved_out;
    totals.returned = it->second.returned_out;
    totals.gave_back = it->second.gave_back_out;
  }
  return totals;
}

std::vector<BootId> TokenAccount::OpenPeers() const {
  std::vector<BootId> peers;
  for (const auto& [boot, it] : pairs_) {
    bool open = it.moved_out - it.returned_in > kEpsilon ||
                it.moved_in - it.returned_out > kEpsilon || it.changed;
    if (open) {
      peers.push_back(boot);
    }
  }
  return peers;
}

void TokenAccount::Tick(Millis now) {
  Refill(now);
  if (wanted_ > 0) {
    wanted_until_ = now + kKeepUnwanted;
  }
  for (auto& [boot, it] : pairs_) {
    it.changed = false;
    double held = it.moved_in - it.returned_out;
    if (held <= 0) {
      continue;
    }
    if (now >= it.expires) {
      it.returned_out += held;
      it.changed = true;
      Clip();
    } else if (now >= wanted_until_) {
      double back = std::min(held, tokens_);
      tokens_ -= back;
      it.returned_out += held;
      it.gave_back_out += back;
      it.changed = true;
      Clip();
    }
  }
}

void TokenAccount::OnPeerGone(const BootId& peer) {
  pairs_.erase(peer);
  Clip();
}

double TokenAccount::Tokens(Millis now) {
  Refill(now);
  return tokens_;
}

double TokenAccount::Spare(Millis now) {
  Refill(now);
  if (wanted_ > 0) {
    return 0;
  }
  return std::max(0.0, tokens_ - recent_spending_ * kOwnNeedSeconds);
}

}  // namespace bilberrypitch
