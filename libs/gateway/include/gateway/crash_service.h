// Shares crashes and suspicions with the other instances, so that all of them
// know which requests crash upstreams.
#pragma once

#include <cstdint>

#include "serving/crash_tracker.h"

namespace bilberrypitch {

class PeerMessenger;
namespace schema {
class CrashNotice;
}

// The pointers passed to the constructor must outlive the service. Must be used
// on the event loop's thread only.
class CrashService {
 public:
  CrashService(CrashTracker* tracker, PeerMessenger* peers);

  // A connection to an upstream broke while the request ran on it.
  void OnConnectionBroken(uint64_t fingerprint, const CrashId& id);
  // The upstream can't be reached, was removed or has restarted.
  void OnUpstreamDown(const UpstreamId& upstream);
  // A suspicion or crash reported by another instance.
  void OnCrashNotice(const schema::CrashNotice& notice);

 private:
  void BroadcastNotice(uint64_t fingerprint, const CrashId& id, bool confirmed);

  CrashTracker* const tracker_;
  PeerMessenger* const peers_;
};

}  // namespace bilberrypitch
