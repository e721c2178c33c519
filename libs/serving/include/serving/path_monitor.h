// Decides whether this instance has lost its path to all upstreams.
//
// New connections that fail at several upstreams, or silence of all of them,
// are a suspicion; it is settled by probes, which open connections to a few
// upstreams. An upstream that has crashed or is silent for a moment loses no
// path, and open connections that live on prove none.
//
// No I/O: the calling code makes the probes and reports their outcome.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

class PathMonitor {
 public:
  enum class State : uint8_t { kOpen, kSuspect, kLost };

  State state() const { return state_; }
  bool is_lost() const { return state_ == State::kLost; }

  // A new connection to an upstream was established.
  void OnReached(Millis now);
  // A new connection could not be established, or one broke without a response.
  void OnUnreached(const UpstreamId& upstream, Millis now);
  // A request was sent, or a response begun or ended, on any connection.
  void OnRequestSent(Millis now);
  void OnBytes(Millis now);
  void OnRequestEnded();

  // Returns which upstreams to probe now, all at once; none if no probe is due.
  // `known`: the upstreams that may be used. Each round of probes ends with
  // OnRoundEnded.
  std::vector<UpstreamId> TakeRound(const std::vector<UpstreamId>& known,
                                    Millis now);
  // `reached`: one of them accepted a connection.
  void OnRoundEnded(bool reached, Millis now);
  // When to call TakeRound next; zero: not before another event.
  Millis NextDue() const;

 private:
  void Suspect(Millis now);
  bool IsSilent(Millis now) const;
  // When silence becomes a suspicion.
  Millis SilentAt() const;

  State state_ = State::kOpen;
  std::set<UpstreamId> unreached_;  // Since the last one was reached.
  size_t requests_ = 0;             // Sent and not ended.
  Millis last_bytes_at_;            // Or when requests began to wait.
  bool round_running_ = false;
  int rounds_failed_ = 0;
  Millis next_round_at_;  // While not open.
  Millis reached_at_;
  size_t next_index_ = 0;  // Into the known upstreams.
};

}  // namespace bilberrypitch
