// Connections that broke, until it is known whether their upstream crashed.
//
// A broken connection alone is no crash: answers get lost too. A crash is
// confirmed when soon after no connection can be made to the upstream, its
// entry goes, or it has started again.
#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "serving/crash_ledger.h"

namespace bilberrypitch {

class CrashSuspicions {
 public:
  using Confirm = std::function<void(uint64_t fingerprint, const CrashId&)>;
  explicit CrashSuspicions(Confirm confirm) : confirm_(std::move(confirm)) {}

  void OnBroken(uint64_t fingerprint, const CrashId& crash, Millis now);
  // The upstream can't be reached, is gone or started again.
  void OnDown(const UpstreamId& upstream, Millis now);

 private:
  struct Suspicion {
    uint64_t fingerprint = 0;
    CrashId crash;
    Millis at;
  };

  const Confirm confirm_;
  std::list<Suspicion> open_;  // Oldest first.
};

}  // namespace bilberrypitch
