// Finds requests that crash each upstream that runs them.
//
// A request is known by the hash of its path, workspace and body. A connection
// that breaks while the request runs is a suspicion; it becomes a crash when
// the upstream then turns out to have ended. Each start of an upstream counts
// once, over all instances, and a run to a good end clears the request. With as
// many crashes as the limit a request is refused for a time; with as many
// crashes and open suspicions together it has to wait until they are settled.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// One crash of one start of an upstream.
struct CrashId {
  UpstreamId upstream;
  int64_t started_ms = 0;
  auto operator<=>(const CrashId&) const = default;
};

enum class CrashDecision : uint8_t {
  kAllow,
  kWait,    // Too many suspicions are open.
  kReject,  // It crashed as many upstreams as the limit.
};

class CrashTracker {
 public:
  struct Crash {
    uint64_t fingerprint = 0;
    CrashId id;
  };

  CrashDecision Check(uint64_t fingerprint, Millis now);
  // A connection of this instance broke with the request running. True when
  // other instances are to be told: it was not the first.
  bool OnConnectionBroken(uint64_t fingerprint, const CrashId& id, Millis now);
  // Another instance says the same.
  void OnPeerSuspicion(uint64_t fingerprint, const CrashId& id, Millis now);
  // An upstream ended or can't be reached. Returns the crashes of this
  // instance's own suspicions, which other instances are to be told.
  std::vector<Crash> OnUpstreamDown(const UpstreamId& upstream, Millis now);
  // Another instance tells of a crash.
  void OnPeerCrash(uint64_t fingerprint, const CrashId& id, Millis now);
  void OnSuccess(uint64_t fingerprint);
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspicion {
    CrashId id;
    Millis at;
    bool own = false;
  };
  struct Suspect {
    std::set<CrashId> crashes;
    std::vector<Suspicion> open;  // None that `crashes` holds.
    Millis last;
  };

  void AddSuspicion(uint64_t fingerprint, const Suspicion& suspicion);
  void Trim(Millis now);

  std::map<uint64_t, Suspect> suspects_;
};

uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body);

}  // namespace bilberrypitch
