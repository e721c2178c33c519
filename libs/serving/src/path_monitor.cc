// Implements the decision about the path to the upstreams.
#include "serving/path_monitor.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// So many different upstreams have to be out of reach for a suspicion.
constexpr size_t kMinUnreached = 2;
// All upstreams are silent for this long while requests wait for them.
constexpr Millis kMaxSilence{700};
// One upstream refutes a suspicion; to be sure of it takes many, as a part of
// them may be out of reach.
constexpr size_t kProbes[] = {1, 3, 8};
constexpr int kRoundsUntilLost = 3;
constexpr size_t kProbesWhileLost = 3;
constexpr Millis kSuspectRoundInterval{100};
constexpr Millis kLostRoundInterval{500};
constexpr Millis kTrustTime{1500};

}  // namespace

void PathMonitor::OnReached(Millis now) {
  unreached_.clear();
  rounds_failed_ = 0;
  reached_at_ = now;
  last_bytes_at_ = now;
  state_ = State::kOpen;
}

void PathMonitor::OnUnreached(const UpstreamId& upstream, Millis now) {
  unreached_.insert(upstream);
  if (unreached_.size() >= kMinUnreached) {
    Suspect(now);
  }
}

void PathMonitor::OnRequestSent(Millis now) {
  if (requests_++ == 0) {
    last_bytes_at_ = now;
  }
}

void PathMonitor::OnBytes(Millis now) { last_bytes_at_ = now; }

void PathMonitor::OnRequestEnded() { requests_ -= requests_ > 0 ? 1 : 0; }

void PathMonitor::Suspect(Millis now) {
  if (state_ == State::kOpen) {
    state_ = State::kSuspect;
    rounds_failed_ = 0;
    next_round_at_ = now;
  }
}

std::vector<UpstreamId> PathMonitor::TakeRound(
    const std::vector<UpstreamId>& known, Millis now) {
  if (state_ == State::kOpen && IsSilent(now)) {
    Suspect(now);
  }
  std::vector<UpstreamId> round;
  if (state_ == State::kOpen || round_running_ || now < next_round_at_ ||
      known.empty()) {
    return round;
  }
  size_t probes = is_lost() ? kProbesWhileLost : kProbes[rounds_failed_];
  for (size_t i = 0; i < std::min(probes, known.size()); ++i) {
    round.push_back(known[next_index_++ % known.size()]);
  }
  round_running_ = true;
  return round;
}

void PathMonitor::OnRoundEnded(bool reached, Millis now) {
  round_running_ = false;
  if (reached) {
    OnReached(now);
    return;
  }
  if (state_ == State::kOpen) {
    return;  // Reached by a request meanwhile.
  }
  if (++rounds_failed_ >= kRoundsUntilLost) {
    state_ = State::kLost;
  }
  next_round_at_ =
      now + (is_lost() ? kLostRoundInterval : kSuspectRoundInterval);
}

bool PathMonitor::IsSilent(Millis now) const {
  return requests_ > 0 && now >= SilentAt();
}

// A new connection outweighs silence for a while.
Millis PathMonitor::SilentAt() const {
  Millis trusted_until =
      reached_at_ == Millis(0) ? Millis(0) : reached_at_ + kTrustTime;
  return std::max(last_bytes_at_ + kMaxSilence, trusted_until);
}

Millis PathMonitor::NextDue() const {
  if (round_running_) {
    return Millis(0);
  }
  if (state_ != State::kOpen) {
    return next_round_at_;
  }
  return requests_ > 0 ? SilentAt() : Millis(0);
}

}  // namespace bilberrypitch
