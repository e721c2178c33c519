// Shares with the other instances which requests crash upstreams.
#pragma once

#include <cstdint>

#include "serving/crash_tracker.h"

namespace bilberrypitch {

class PeerMessenger;
namespace schema {
class CrashNotice;
}

// On the loop's thread only.
class CrashService {
 public:
  CrashService(CrashTracker* ledger, PeerMessenger* peers);

  // The connection broke while the request ran.
  void OnConnectionBroken(uint64_t fingerprint, const CrashId& id);
  // The upstream can't be reached, is gone or started again.
  void OnUpstreamDown(const UpstreamId& upstream);
  // Another instance's word.
  void OnCrashNotice(const schema::CrashNotice& notice);

 private:
  void Tell(uint64_t fingerprint, const CrashId& id, bool confirmed);

  CrashTracker* const ledger_;
  PeerMessenger* const peers_;
};

}  // namespace bilberrypitch
