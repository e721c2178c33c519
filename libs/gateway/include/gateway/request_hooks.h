// The callbacks by which requests use the other parts of an instance.
#pragma once

#include <functional>

#include "serving/part_crash_tracker.h"

namespace bilberrypitch {

class AdapterService;
class CallerFrontend;
class CrashService;
class LoadBroadcaster;
class PartCrashService;
class PathService;
class PeerMessenger;
class PermitService;
class PrefillService;
class RateLimitService;
class StreamService;
struct RequestHooks;

// The services that requests use. They are not owned and must outlive the
// hooks.
struct RequestServices {
  AdapterService* adapters = nullptr;
  CallerFrontend* callers = nullptr;
  CrashService* crashes = nullptr;
  LoadBroadcaster* loads = nullptr;
  PartCrashService* part_crashes = nullptr;
  PathService* paths = nullptr;
  PeerMessenger* peers = nullptr;
  PermitService* permits = nullptr;
  PrefillService* prefills = nullptr;
  RateLimitService* rate_limits = nullptr;
  StreamService* streams = nullptr;
  // Asks the upstream whether it has the start that its entry states. Returns
  // false if it is no engine that can be asked.
  std::function<bool(const CrashId&, std::function<void(bool)> done)>
      check_start;
  std::function<void(const UpstreamId&, Millis sent_at)> upstream_leaves;
};

RequestHooks MakeRequestHooks(const RequestServices& services);

}  // namespace bilberrypitch
