// Passes the items of other instances to the services that they concern.
#pragma once

#include "serving/ids.h"

namespace bilberrypitch {

class AdapterService;
class CrashService;
class FreshnessService;
class LoadBroadcaster;
class PartCrashService;
class PermitService;
class PrefillService;
class RateLimitService;
class StreamService;
class PathService;
class UpstreamRegistry;
namespace schema {
class BrittleNews;
class PeerItem;
}  // namespace schema

// Must be used on the event loop's thread only.
class PeerDispatcher {
 public:
  // The pointers are not owned and must outlive the dispatcher.
  struct Deps {
    UpstreamRegistry* upstreams = nullptr;
    AdapterService* adapters = nullptr;
    RateLimitService* rate_limits = nullptr;
    PrefillService* prefills = nullptr;
    CrashService* crashes = nullptr;
    PartCrashService* part_crashes = nullptr;
    PermitService* permits = nullptr;
    StreamService* streams = nullptr;
    PathService* paths = nullptr;
    FreshnessService* freshness = nullptr;
    LoadBroadcaster* loads = nullptr;
  };

  explicit PeerDispatcher(const Deps& deps);

  void OnItem(const MachineId& from, const schema::PeerItem& item);

 private:
  void OnBrittleNews(const schema::BrittleNews& news);

  const Deps deps_;
};

}  // namespace bilberrypitch
