// Crashes by request.
#include "serving/crash_ledger.h"

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr size_t kCrashLimit = 3;
// A suspect is forgotten this long after its last crash.
constexpr Millis kMemory{120 * 1000};
constexpr size_t kMostSuspects = 4096;

}  // namespace

bool CrashLedger::MaySend(uint64_t fingerprint, Millis now) {
  auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) {
    return true;
  }
  if (now - it->second.last > kMemory) {
    suspects_.erase(it);
    return true;
  }
  return it->second.crashes.size() < kCrashLimit;
}

void CrashLedger::OnCrash(uint64_t fingerprint, const CrashId& crash,
                          Millis now) {
  Trim(now);
  Suspect& it = suspects_[fingerprint];
  it.crashes.insert(crash);
  it.last = now;
}

void CrashLedger::OnSuccess(uint64_t fingerprint) {
  suspects_.erase(fingerprint);
}

void CrashLedger::Trim(Millis now) {
  if (suspects_.size() < kMostSuspects) {
    return;
  }
  std::erase_if(suspects_, [now](const auto& it) {
    return now - it.second.last > kMemory || it.second.crashes.size() < 2;
  });
}

uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body) {
  return StableHash(method + " " + target + "\n" + workspace.str(), body);
}

}  // namespace bilberrypitch
