// Detects requests that crash every upstream that runs them ("poison requests")
// and stops them before they take down the whole service.
//
// A request is identified by a fingerprint: the hash of its method, target,
// workspace and body. A connection that breaks while the request runs is a
// suspicion; it becomes a crash if the upstream then turns out to have ended.
// Each start of an upstream counts at most once, over all instances, and a
// successful run clears the request. A request that has reached the crash limit
// is rejected for some time; one whose crashes and open suspicions together
// reach the limit has to wait until the suspicions are confirmed or expire.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// Identifies the crash of one start of an upstream.
struct CrashId {
  UpstreamId upstream;
  int64_t started_ms = 0;  // Start time of the upstream, Unix time.
  auto operator<=>(const CrashId&) const = default;
};

enum class CrashDecision : uint8_t {
  kAllow,
  kWait,    // Too many suspicions are open; check again later.
  kReject,  // The request has reached the crash limit.
};

// State machine without I/O. Not thread-safe.
class CrashTracker {
 public:
  struct Crash {
    uint64_t fingerprint = 0;
    CrashId id;
  };

  // Returns whether the request may be sent to an upstream now.
  CrashDecision Check(uint64_t fingerprint, Millis now);
  // A connection of this instance broke while the request was running. Returns
  // true if other instances have to be notified: if the request now has at
  // least two crashes and open suspicions together.
  bool OnConnectionBroken(uint64_t fingerprint, const CrashId& id, Millis now);
  // Another instance reports a suspicion.
  void OnPeerSuspicion(uint64_t fingerprint, const CrashId& id, Millis now);
  // An upstream ended or is unreachable. Confirms the open suspicions against
  // it and returns those that this instance raised itself; the other instances
  // have to be notified of these.
  std::vector<Crash> OnUpstreamDown(const UpstreamId& upstream, Millis now);
  // Another instance reports a crash.
  void OnPeerCrash(uint64_t fingerprint, const CrashId& id, Millis now);
  // The request ran to completion, which clears it.
  void OnSuccess(uint64_t fingerprint);
  // Number of tracked requests.
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspicion {
    CrashId id;
    Millis raised_at;
    bool is_local = false;  // Raised by this instance.
  };
  struct Suspect {
    std::set<CrashId> crashes;
    std::vector<Suspicion> open;  // Without those already in `crashes`.
    Millis updated_at;
  };

  void AddSuspicion(uint64_t fingerprint, const Suspicion& suspicion);
  // If many requests are tracked, drops those that are outdated, and those that
  // have no open suspicion and too few crashes to notify other instances.
  void Trim(Millis now);

  std::map<uint64_t, Suspect> suspects_;  // By fingerprint.
};

// Returns the same value for the same request on every instance.
uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body);

}  // namespace bilberrypitch
