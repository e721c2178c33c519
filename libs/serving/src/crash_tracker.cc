// Crashes by request.
#include "serving/crash_tracker.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr size_t kCrashLimit = 3;
// Other instances hear of a suspicion from this one on: single broken
// connections are common where links fail.
constexpr size_t kToldFrom = 2;
// A suspicion that is not confirmed in this time is dropped.
constexpr Millis kOpenFor{6000};
// A suspect is forgotten this long after its last crash.
constexpr Millis kMemory{120 * 1000};
constexpr size_t kMostSuspects = 4096;

}  // namespace

CrashDecision CrashTracker::Check(uint64_t fingerprint, Millis now) {
  auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) {
    return CrashDecision::kAllow;
  }
  Suspect& suspect = it->second;
  if (now - suspect.last > kMemory) {
    suspects_.erase(it);
    return CrashDecision::kAllow;
  }
  if (suspect.crashes.size() >= kCrashLimit) {
    return CrashDecision::kReject;
  }
  std::erase_if(suspect.open, [now](const Suspicion& suspicion) {
    return now - suspicion.at > kOpenFor;
  });
  bool waits = suspect.crashes.size() + suspect.open.size() >= kCrashLimit;
  return waits ? CrashDecision::kWait : CrashDecision::kAllow;
}

bool CrashTracker::OnConnectionBroken(uint64_t fingerprint, const CrashId& id,
                                      Millis now) {
  AddSuspicion(fingerprint, {id, now, true});
  const Suspect& it = suspects_[fingerprint];
  return it.crashes.size() + it.open.size() >= kToldFrom;
}

void CrashTracker::OnPeerSuspicion(uint64_t fingerprint, const CrashId& id,
                                   Millis now) {
  AddSuspicion(fingerprint, {id, now, false});
}

void CrashTracker::AddSuspicion(uint64_t fingerprint,
                                const Suspicion& suspicion) {
  Trim(suspicion.at);
  Suspect& it = suspects_[fingerprint];
  it.last = suspicion.at;
  if (it.crashes.count(suspicion.id) > 0) {
    return;
  }
  std::erase_if(it.open, [&](const Suspicion& other) {
    return other.id == suspicion.id || suspicion.at - other.at > kOpenFor;
  });
  it.open.push_back(suspicion);
}

std::vector<CrashTracker::Crash> CrashTracker::OnUpstreamDown(
    const UpstreamId& upstream, Millis now) {
  std::vector<Crash> own;
  for (auto& entry : suspects_) {
    uint64_t fingerprint = entry.first;
    Suspect& it = entry.second;
    std::erase_if(it.open, [&](const Suspicion& suspicion) {
      bool late = now - suspicion.at > kOpenFor;
      bool crashed = !late && suspicion.id.upstream == upstream;
      if (crashed) {
        it.crashes.insert(suspicion.id);
        it.last = now;
      }
      if (crashed && suspicion.own) {
        own.push_back({fingerprint, suspicion.id});
      }
      return late || crashed;
    });
  }
  return own;
}

void CrashTracker::OnPeerCrash(uint64_t fingerprint, const CrashId& id,
                               Millis now) {
  Trim(now);
  Suspect& it = suspects_[fingerprint];
  it.crashes.insert(id);
  it.last = now;
  std::erase_if(it.open,
                [&](const Suspicion& other) { return other.id == id; });
}

void CrashTracker::OnSuccess(uint64_t fingerprint) {
  suspects_.erase(fingerprint);
}

void CrashTracker::Trim(Millis now) {
  if (suspects_.size() < kMostSuspects) {
    return;
  }
  std::erase_if(suspects_, [now](const auto& it) {
    return now - it.second.last > kMemory ||
           (it.second.crashes.size() < kToldFrom && it.second.open.empty());
  });
}

uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body) {
  return StableHash(method + " " + target + "\n" + workspace.str(), body);
}

}  // namespace bilberrypitch
