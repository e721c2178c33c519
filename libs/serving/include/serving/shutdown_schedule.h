// Decides which requests an instance that stops may still send to an upstream.
#pragma once

#include <optional>

#include "serving/ids.h"

namespace bilberrypitch {

struct Route;

// Until the signal to stop, all requests may be sent. After it, a request may
// be sent if it ends before the process does:
// - for certain, because its deadline is earlier;
// - or probably, if it arrived before the load balancer stopped sending new
//   connections here. Later ones are better sent to another instance.
class ShutdownSchedule {
 public:
  // `grace`: from the signal to stop until the process is killed.
  explicit ShutdownSchedule(Millis grace) : grace_(grace) {}

  void Start(Millis now) { started_at_ = now; }
  bool started() const { return started_at_.has_value(); }
  // The load balancer sends no new connections here unless it has no choice.
  bool IsOutOfRotation(Millis now) const;
  // All open requests are ended then.
  Millis requests_end_at() const;
  // The process ends then, even if callers have yet to read their responses.
  Millis process_ends_at() const;
  // Whether a request that arrived at `arrived_at` may be sent now.
  bool MaySend(const Route& route, Millis arrived_at, Millis deadline,
               Millis now) const;

 private:
  const Millis grace_;
  std::optional<Millis> started_at_;  // Empty: no signal to stop yet.
};

}  // namespace bilberrypitch
