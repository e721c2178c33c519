// Shares with the other instances which requests crash upstreams.
#pragma once

#include <cstdint>

#include "serving/crash_tracker.h"

namespace bilberrypitch {

class PeerLink;
namespace schema {
class CrashNotice;
}

// On the loop's thread only.
class CrashService {
 public:
  CrashService(CrashTracker* ledger, PeerLink* peers);

  // The connection broke while the request ran.
  void OnBroken(uint64_t fingerprint, const CrashId& id);
  // The upstream can't be reached, is gone or started again.
  void OnDown(const UpstreamId& upstream);
  // Another instance's word.
  void OnNotice(const schema::CrashNotice& notice);

 private:
  void Tell(uint64_t fingerprint, const CrashId& id, bool confirmed);

  CrashTracker* const ledger_;
  PeerLink* const peers_;
};

}  // namespace bilberrypitch
