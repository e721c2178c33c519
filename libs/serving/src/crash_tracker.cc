// Bookkeeping of suspicions and crashes by request fingerprint.
#include "serving/crash_tracker.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr size_t kCrashLimit = 3;
// Number of crashes and suspicions of a request from which other instances are
// notified. Single broken connections are common where network links fail.
constexpr size_t kNotifyThreshold = 2;
// A suspicion that is not confirmed within this time is dropped.
constexpr Millis kSuspicionTtl{6000};
// A request is cleared this long after its last crash or suspicion.
constexpr Millis kSuspectTtl{120 * 1000};
constexpr size_t kMaxSuspects = 4096;

}  // namespace

CrashDecision CrashTracker::Check(uint64_t fingerprint, Millis now) {
  auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) {
    return CrashDecision::kAllow;
  }
  Suspect& suspect = it->second;
  if (now - suspect.updated_at > kSuspectTtl) {
    suspects_.erase(it);
    return CrashDecision::kAllow;
  }
  if (suspect.crashes.size() >= kCrashLimit) {
    return CrashDecision::kReject;
  }
  std::erase_if(suspect.open, [now](const Suspicion& suspicion) {
    return now - suspicion.raised_at > kSuspicionTtl;
  });
  bool must_wait = suspect.crashes.size() + suspect.open.size() >= kCrashLimit;
  return must_wait ? CrashDecision::kWait : CrashDecision::kAllow;
}

bool CrashTracker::OnConnectionBroken(uint64_t fingerprint, const CrashId& id,
                                      Millis now) {
  AddSuspicion(fingerprint, {id, now, true});
  const Suspect& suspect = suspects_[fingerprint];
  return suspect.crashes.size() + suspect.open.size() >= kNotifyThreshold;
}

void CrashTracker::OnPeerSuspicion(uint64_t fingerprint, const CrashId& id,
                                   Millis now) {
  AddSuspicion(fingerprint, {id, now, false});
}

void CrashTracker::AddSuspicion(uint64_t fingerprint,
                                const Suspicion& suspicion) {
  Trim(suspicion.raised_at);
  Suspect& suspect = suspects_[fingerprint];
  suspect.updated_at = suspicion.raised_at;
  if (suspect.crashes.count(suspicion.id) > 0) {
    return;
  }
  std::erase_if(suspect.open, [&](const Suspicion& other) {
    return other.id == suspicion.id ||
           suspicion.raised_at - other.raised_at > kSuspicionTtl;
  });
  suspect.open.push_back(suspicion);
}

std::vector<CrashTracker::Crash> CrashTracker::OnUpstreamDown(
    const UpstreamId& upstream, Millis now) {
  std::vector<Crash> own_crashes;
  for (auto& entry : suspects_) {
    uint64_t fingerprint = entry.first;
    Suspect& suspect = entry.second;
    std::erase_if(suspect.open, [&](const Suspicion& suspicion) {
      bool expired = now - suspicion.raised_at > kSuspicionTtl;
      bool crashed = !expired && suspicion.id.upstream == upstream;
      if (crashed) {
        suspect.crashes.insert(suspicion.id);
        suspect.updated_at = now;
      }
      if (crashed && suspicion.is_local) {
        own_crashes.push_back({fingerprint, suspicion.id});
      }
      return expired || crashed;
    });
  }
  return own_crashes;
}

void CrashTracker::OnPeerCrash(uint64_t fingerprint, const CrashId& id,
                               Millis now) {
  Trim(now);
  Suspect& suspect = suspects_[fingerprint];
  suspect.crashes.insert(id);
  suspect.updated_at = now;
  std::erase_if(suspect.open,
                [&](const Suspicion& other) { return other.id == id; });
}

void CrashTracker::OnSuccess(uint64_t fingerprint) {
  suspects_.erase(fingerprint);
}

void CrashTracker::Trim(Millis now) {
  if (suspects_.size() < kMaxSuspects) {
    return;
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    return now - entry.second.updated_at > kSuspectTtl ||
           (entry.second.crashes.size() < kNotifyThreshold &&
            entry.second.open.empty());
  });
}

uint64_t RequestFingerprint(const std::string& method,
                            const std::string& target,
                            const WorkspaceId& workspace,
                            const std::string& body) {
  return StableHash(method + " " + target + "\n" + workspace.str(), body);
}

}  // namespace bilberrypitch
