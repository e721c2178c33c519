// Finds requests that crash each upstream that runs them.
//
// A request is known by the hash of its path, workspace and body. Each crash
// at which it was running counts once, over all instances; a run to a good end
// clears it. One with as many crashes as the limit is refused for a time.
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

class CrashLedger {
 public:
  // Whether the request may be sent to an upstream.
  bool MaySend(uint64_t fingerprint, Millis now);
  // A crash with this request running, seen here or told by a peer.
  void OnCrash(uint64_t fingerprint, const CrashId& crash, Millis now);
  void OnSuccess(uint64_t fingerprint);
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::set<CrashId> crashes;
    Millis last;
  };

  void Trim(Millis now);

  std::map<uint64_t, Suspect> suspects_;
};

uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body);

}  // namespace bilberrypitch
