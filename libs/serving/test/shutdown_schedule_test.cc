// Tests of the decision which requests an instance that stops may still send.
#include "serving/shutdown_schedule.h"

#include <catch2/catch.hpp>

#include "serving/config.h"

namespace bilberrypitch {
namespace {

constexpr Millis kSignalAt{100 * 1000};
// After a signal, the balancer may send connections here for so long.
constexpr Millis kInRotation{2000};

Route RouteOf(RequestKind kind) {
  Route route;
  route.kind = kind;
  route.latency_target = Millis(400);
  return route;
}

}  // namespace

// Guards against: a request is sent that is cut when the process ends.
TEST_CASE("nothing is sent that can't end before the process", "[shutdown]") {
  const Millis grace(GENERATE(0, 500, 2000, 3000, 4000, 8000, 30000));
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent,
               RequestKind::kStream);
  const Route route = RouteOf(kind);
  ShutdownSchedule schedule(grace);
  schedule.Start(kSignalAt);
  CAPTURE(grace.count(), static_cast<int>(kind));
  REQUIRE(schedule.requests_end_at() <= schedule.process_ends_at());
  REQUIRE(schedule.process_ends_at() <= kSignalAt + grace);
  // What is cut is cut in the last sixth of the grace.
  REQUIRE((schedule.requests_end_at() - kSignalAt).count() * 6 >=
          grace.count() * 5);
  for (Millis now = kSignalAt; now <= kSignalAt + grace;
       now = now + Millis(20)) {
    const Millis end = schedule.requests_end_at();
    CAPTURE(now.count());
    const bool may_be_late =
        schedule.MaySend(route, now, now + Millis(60 * 1000), now);
    REQUIRE((!may_be_late || now + route.latency_target < end));
    REQUIRE(schedule.MaySend(route, now, end - Millis(1), now) == (now < end));
  }
}

TEST_CASE("requests are served while the balancer sends connections",
          "[shutdown]") {
  ShutdownSchedule schedule(Millis(8000));
  const Millis deadline = kSignalAt + Millis(60 * 1000);
  const Route route = RouteOf(RequestKind::kNonIdempotent);
  REQUIRE(schedule.MaySend(route, kSignalAt, deadline, kSignalAt));
  schedule.Start(kSignalAt);
  const Millis arrived_at = kSignalAt + kInRotation;
  REQUIRE(schedule.MaySend(route, arrived_at, deadline, arrived_at));
  // A later one on an old connection is better sent elsewhere.
  const Millis late = kSignalAt + kInRotation * 2;
  REQUIRE(schedule.IsOutOfRotation(late));
  REQUIRE_FALSE(schedule.MaySend(route, late, deadline, late));
}

}  // namespace bilberrypitch
