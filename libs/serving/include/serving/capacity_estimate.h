// Estimates how long work takes on an upstream now, and how many requests it
// handles well at once.
//
// Three sources are used: the figure that the upstream states in its load
// reports, the latencies that this instance observes, and the news of other
// instances. Each instance hears from an upstream rarely, so a sample counts
// the more the longer ago the one before it was.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "base/strong.h"
#include "serving/request.h"

namespace bilberrypitch {

// Of one upstream. State machine without I/O. Not thread-safe.
class CapacityEstimate {
 public:
  void OnReport(const UpstreamLoadReport& report, Millis now);
  // Another instance has observed this slowdown.
  void OnNews(double slowdown, Millis now);
  // An attempt whose latency can be compared with that of others was sent.
  void OnAttemptBegun(Millis now);
  // `completed`: with a response, so that its latency counts.
  void OnAttemptEnded(Millis begun_at, bool completed, Millis now);
  // The upstream turned a request away because it is full.
  void OnFull(Millis now);

  // How long work takes now as a multiple of the usual time, at least 1.
  double Slowdown(Millis now) const;
  // Concurrent requests that an upstream with this number of slots handles
  // well, at least 1.
  double ConcurrencyLimit(uint32_t slots) const;
  // Without slowdown; empty: too few latencies were observed.
  std::optional<double> UsualLatencyMs() const;
  // The same, closer to `assumed_ms` the fewer latencies were observed.
  double UsualLatencyMsOr(double assumed_ms) const;
  // 1 just after the upstream was full; falls to 0 within about the time that
  // requests take, and later if it was full several times in a row.
  double Fullness(Millis now) const;
  // Whether a request may be sent as if the upstream was not slow, to see if it
  // has recovered. `draw`: in [0, 1), of the request and the upstream.
  bool ProbeDue(double draw, Millis now) const;
  // Whether there is anything to estimate from: a stated figure, latencies that
  // differed clearly, or a rejection, all of them recent.
  bool IsInEffect(Millis now) const;
  // Whether the upstream has stated a figure of its own recently.
  bool StatesSlowdown(Millis now) const;
  // By the latest sample, with hysteresis.
  bool is_slow() const { return is_slow_; }

  // Whether other instances should hear of this slowdown: it differs from what
  // was last sent or received, or confirms that the upstream is slow.
  bool IsNewsDue(Millis now) const;
  void OnNewsSent(Millis now);

 private:
  void OnSample(double slowdown, double min_weight, Millis now);
  void UpdateLimit(Millis since_previous);
  void OnLatency(double latency_ms, Millis now);
  // How late the oldest open attempt is, as a slowdown.
  double OverdueSlowdown(Millis now) const;
  bool has_usual_latency() const;

  // By all sources; smoothed. Below 1 if the upstream states so.
  double slowdown_ = 1;
  std::optional<Millis> stated_at_;   // When the upstream last stated a figure.
  double usual_latency_ms_ = 0;       // Without slowdown.
  int latency_samples_ = 0;           // Up to those needed.
  std::optional<Millis> sampled_at_;  // The latest sample of any source.
  std::optional<Millis> slow_at_;     // The latest that showed a slowdown.
  std::optional<Millis> full_at_;
  uint32_t full_in_a_row_ = 0;
  bool is_slow_ = false;
  // 0 to 1, of the upstream's slots.
  double limit_share_ = 1;
  UpstreamLoadReport report_;
  std::multiset<Millis> open_;  // When the open attempts were sent.
  double known_to_others_ = 1;  // As last sent or received.
  Millis known_to_others_at_;
  bool has_own_sample_ = false;  // Since news was last sent.
};

}  // namespace bilberrypitch
