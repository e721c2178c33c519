// Keeps the limits of cold upstreams current, and logs when they change.
#pragma once

#include "serving/cold_upstreams.h"
#include "transport/timer.h"

namespace bilberrypitch {

class EventLoop;
struct ServingState;

// `state` must outlive the service. Must be used on the event loop's thread
// only.
class ColdService {
 public:
  ColdService(EventLoop* loop, ServingState* state);

  // See ColdUpstreams.
  bool OnEntry(const UpstreamId& id, bool is_of_copy);
  void OnEvacuationEnded(const ZoneId& zone);
  // The configuration has changed.
  void Update();

 private:
  ServingState* const state_;
  ColdUpstreams upstreams_;
  Timer timer_;
};

}  // namespace bilberrypitch
