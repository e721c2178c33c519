// Bookkeeping of crashes, sound parts and quarantines by prompt part.
#include "serving/part_crash_tracker.h"

#include <algorithm>
#include <set>

namespace bilberrypitch {
namespace {

// What it takes to accuse a part.
struct Limit {
  size_t crashes = 0;
  size_t requests = 0;  // Different ones.
  // Responses that began at this instance since the first of the crashes.
  uint64_t begun_meanwhile = 0;
};

constexpr Limit kLimitNeverBegun{3, 2, 1};
// A part that has begun before rarely crashes every upstream.
constexpr Limit kLimitBegunBefore{5, 2, 20};

// A suspicion that is not confirmed within this time is dropped.
constexpr Millis kSuspicionTtl{6000};
// Crashes that are further apart than this aren't put down to one part.
constexpr Millis kCrashTtl{10 * 60 * 1000};
constexpr Millis kFirstProbeDelay{30 * 1000};
constexpr Millis kSecondProbeDelay{60 * 1000};
constexpr uint32_t kMaxProbes = 2;

constexpr size_t kMaxSuspicions = 1024;
constexpr size_t kMaxPartsPerCrash = 64;
constexpr size_t kMaxCandidates = 2048;
constexpr size_t kMaxCrashesPerPart = 16;
constexpr size_t kMaxQuarantined = 1024;
constexpr size_t kMaxRecentParts = 4096;

}  // namespace

std::vector<PartId> SharedParts(const std::vector<PromptPart>& parts) {
  std::vector<PartId> shared;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    shared.push_back(PartId{parts[i].id});
  }
  return shared;
}

bool PartCrashTracker::IsQuarantined(const std::vector<PartId>& parts,
                                     Millis now) {
  if (quarantined_.empty()) {
    return false;
  }
  return std::any_of(parts.begin(), parts.end(), [&](PartId part) {
    auto it = quarantined_.find(part);
    if (it == quarantined_.end()) {
      return false;
    }
    if (now - it->second.declared_at > kQuarantineTime) {
      quarantined_.erase(it);
      return false;
    }
    return true;
  });
}

bool PartCrashTracker::TakeProbe(const std::vector<PartId>& parts, Millis now) {
  std::set<PartId> to_probe;
  for (PartId part : parts) {
    auto it = quarantined_.find(part);
    if (it == quarantined_.end()) {
      continue;
    }
    const QuarantineState& state = it->second;
    if (!state.declared_here || state.probes >= kMaxProbes ||
        now < state.next_probe_at) {
      return false;
    }
    to_probe.insert(part);
  }
  for (PartId part : to_probe) {
    QuarantineState& state = quarantined_[part];
    ++state.probes;
    state.next_probe_at = now + kSecondProbeDelay;
  }
  return !to_probe.empty();
}

std::vector<PartId> PartCrashTracker::OnBegun(const std::vector<PartId>& parts,
                                              Millis now) {
  ++begun_count_;
  std::vector<PartId> ended;
  for (PartId part : parts) {
    RememberBegun(part, now);
    candidates_.erase(part);
    if (EndQuarantine(part)) {
      ended.push_back(part);
    }
  }
  return ended;
}

bool PartCrashTracker::OnPeerBegun(PartId part, Millis begun_at, Millis now) {
  std::optional<Millis> known = LastBegun(part);
  if (now - begun_at <= kCrashTtl && (!known || *known < begun_at)) {
    RememberBegun(part, begun_at);
  }
  auto candidate = candidates_.find(part);
  if (candidate != candidates_.end()) {
    std::erase_if(candidate->second.crashes,
                  [&](const Crash& crash) { return crash.at <= begun_at; });
    if (candidate->second.crashes.empty()) {
      candidates_.erase(candidate);
    }
  }
  auto quarantine = quarantined_.find(part);
  return quarantine != quarantined_.end() &&
         begun_at > quarantine->second.first_crash_at && EndQuarantine(part);
}

std::optional<Millis> PartCrashTracker::LastBegun(PartId part) const {
  if (auto it = recent_.find(part); it != recent_.end()) {
    return it->second;
  }
  if (auto it = older_.find(part); it != older_.end()) {
    return it->second;
  }
  return std::nullopt;
}

void PartCrashTracker::RememberBegun(PartId part, Millis at) {
  if (recent_.size() >= kMaxRecentParts && recent_.count(part) == 0) {
    older_ = std::move(recent_);
    recent_.clear();
  }
  recent_[part] = at;
  older_.erase(part);
}

void PartCrashTracker::OnConnectionBroken(const PartCrash& suspicion,
                                          Millis now) {
  std::erase_if(suspicions_, [now](const Suspicion& other) {
    return now - other.raised_at > kSuspicionTtl;
  });
  if (suspicion.parts.empty() || suspicions_.size() >= kMaxSuspicions) {
    return;
  }
  suspicions_.push_back({suspicion, now});
  std::vector<PartId>& parts = suspicions_.back().crash.parts;
  parts.resize(std::min(parts.size(), kMaxPartsPerCrash));
}

std::vector<PartCrash> PartCrashTracker::OnUpstreamDown(
    const UpstreamId& upstream, Millis now) {
  std::vector<PartCrash> confirmed;
  std::erase_if(suspicions_, [&](Suspicion& suspicion) {
    bool expired = now - suspicion.raised_at > kSuspicionTtl;
    if (expired || suspicion.crash.id.upstream != upstream) {
      return expired;
    }
    PartCrash crash = std::move(suspicion.crash);
    // Parts that began after the connection broke are sound.
    std::erase_if(crash.parts, [&](PartId part) {
      std::optional<Millis> begun = LastBegun(part);
      return begun && *begun >= suspicion.raised_at;
    });
    crash.parts = AddCrash(crash, true, now);
    if (!crash.parts.empty()) {
      confirmed.push_back(std::move(crash));
    }
    return true;
  });
  return confirmed;
}

void PartCrashTracker::OnPeerCrash(const PartCrash& crash, Millis now) {
  AddCrash(crash, false, now);
}

std::vector<PartId> PartCrashTracker::AddCrash(const PartCrash& crash,
                                               bool reported_here, Millis now) {
  std::vector<PartId> added;
  size_t n = std::min(crash.parts.size(), kMaxPartsPerCrash);
  for (size_t i = 0; i < n; ++i) {
    PartId part = crash.parts[i];
    if (candidates_.count(part) == 0) {
      TrimCandidates(now);
      if (candidates_.size() >= kMaxCandidates) {
        break;
      }
      candidates_[part].begun_before = begun_count_;
    }
    Candidate& candidate = candidates_[part];
    candidate.reported_here = candidate.reported_here || reported_here;
    std::erase_if(candidate.crashes, [now](const Crash& other) {
      return now - other.at > kCrashTtl;
    });
    bool known =
        std::any_of(candidate.crashes.begin(), candidate.crashes.end(),
                    [&](const Crash& other) { return other.id == crash.id; });
    if (!known && candidate.crashes.size() < kMaxCrashesPerPart) {
      candidate.crashes.push_back({crash.id, crash.fingerprint, now});
      added.push_back(part);
    }
  }
  return added;
}

void PartCrashTracker::TrimCandidates(Millis now) {
  if (candidates_.size() < kMaxCandidates) {
    return;
  }
  std::erase_if(candidates_, [now](const auto& entry) {
    const std::vector<Crash>& crashes = entry.second.crashes;
    return crashes.size() <= 1 || now - crashes.back().at > kCrashTtl;
  });
}

bool PartCrashTracker::ReachesLimit(PartId part, Millis now) const {
  auto it = candidates_.find(part);
  if (it == candidates_.end() || quarantined_.count(part) > 0) {
    return false;
  }
  const Candidate& candidate = it->second;
  const Limit& limit = LastBegun(part) ? kLimitBegunBefore : kLimitNeverBegun;
  size_t crashes = 0;
  std::set<uint64_t> requests;
  for (const Crash& crash : candidate.crashes) {
    if (now - crash.at <= kCrashTtl) {
      ++crashes;
      requests.insert(crash.fingerprint);
    }
  }
  return crashes >= limit.crashes && requests.size() >= limit.requests &&
         begun_count_ - candidate.begun_before >= limit.begun_meanwhile;
}

Millis PartCrashTracker::FirstCrashAt(PartId part, Millis now) const {
  auto it = candidates_.find(part);
  return it == candidates_.end() || it->second.crashes.empty()
             ? now
             : it->second.crashes.front().at;
}

std::vector<PartId> PartCrashTracker::TakeAccused(Millis now) {
  std::vector<PartId> accused;
  for (auto& [part, candidate] : candidates_) {
    if (candidate.reported_here && ReachesLimit(part, now)) {
      candidate.reported_here = false;
      accused.push_back(part);
    }
  }
  return accused;
}

void PartCrashTracker::Quarantine(PartId part, bool declared_here, Millis now) {
  auto it = quarantined_.find(part);
  if (it != quarantined_.end()) {
    it->second.declared_here = it->second.declared_here || declared_here;
    return;
  }
  if (quarantined_.size() >= kMaxQuarantined) {
    std::erase_if(quarantined_, [now](const auto& entry) {
      return now - entry.second.declared_at > kQuarantineTime;
    });
  }
  if (quarantined_.size() < kMaxQuarantined) {
    quarantined_[part] = {now, FirstCrashAt(part, now), declared_here, 0,
                          now + kFirstProbeDelay};
    candidates_.erase(part);
  }
}

bool PartCrashTracker::EndQuarantine(PartId part) {
  return quarantined_.erase(part) > 0;
}

std::vector<PartId> PartCrashTracker::Quarantined() const {
  std::vector<PartId> parts;
  for (const auto& [part, state] : quarantined_) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace bilberrypitch
