// Quarantine of requests that crash upstreams.
#include "dispatch/quarantine.h"

#include <algorithm>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr uint32_t kCrashesToQuarantine = 2;
constexpr Millis kQuarantineLife{10 * 60 * 1000};
// Longer than the word of a crash takes to reach every instance it can reach.
constexpr Millis kWordArrives{2000};
constexpr size_t kMostRecords = 10000;

}  // namespace

Fingerprint FingerprintOf(const std::string& model, const std::string& body) {
  return Fingerprint(Sha256Hex(model + "\n" + body));
}

uint32_t Quarantine::Total(const Suspect& suspect) {
  uint32_t n = 0;
  for (const auto& [origin, crashes] : suspect.crashes) {
    n += crashes;
  }
  return n;
}

QuarantineVerdict Quarantine::Judge(const Fingerprint& fingerprint,
                                    Millis now) const {
  auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || it->second.expires <= now) {
    return QuarantineVerdict::kFree;
  }
  if (Total(it->second) >= kCrashesToQuarantine) {
    return QuarantineVerdict::kQuarantined;
  }
  if (now < it->second.not_before) {
    return QuarantineVerdict::kBusy;
  }
  for (const auto& [upstream, running] : suspects_running_) {
    if (running.count(fingerprint) != 0) {
      return QuarantineVerdict::kBusy;
    }
  }
  return QuarantineVerdict::kAlone;
}

bool Quarantine::MayRunAlone(const UpstreamId& upstream) const {
  auto it = suspects_running_.find(upstream);
  return it == suspects_running_.end() || it->second.empty();
}

void Quarantine::OnBegin(const Fingerprint& fingerprint,
                         const UpstreamId& upstream) {
  if (suspects_.count(fingerprint) != 0) {
    suspects_running_[upstream].insert(fingerprint);
  }
}

void Quarantine::OnEnd(const Fingerprint& fingerprint,
                       const UpstreamId& upstream) {
  auto running = suspects_running_.find(upstream);
  if (running == suspects_running_.end()) {
    return;
  }
  auto it = running->second.find(fingerprint);
  if (it != running->second.end()) {
    running->second.erase(it);
  }
}

void Quarantine::OnCrash(const std::vector<Fingerprint>& running, Millis now) {
  // A request that ran there twice was present at one crash.
  std::set<Fingerprint> present(running.begin(), running.end());
  auto is_suspect = [&](const Fingerprint& it) {
    return suspects_.count(it) != 0;
  };
  bool had_suspect = std::any_of(present.begin(), present.end(), is_suspect);
  for (const Fingerprint& it : present) {
    // Beside a suspect that ran alone, the others are innocent.
    if (had_suspect && !is_suspect(it)) {
      continue;
    }
    Suspect& suspect = suspects_[it];
    ++suspect.crashes[self_];
    suspect.not_before = now + kWordArrives;
    suspect.expires = now + kQuarantineLife;
  }
  Trim(now);
}

void Quarantine::OnSuccess(const Fingerprint& fingerprint) {
  auto it = suspects_.find(fingerprint);
  if (it != suspects_.end() && Total(it->second) < kCrashesToQuarantine) {
    suspects_.erase(it);
  }
}

void Quarantine::OnGossip(const QuarantineRecord& record) {
  Suspect& suspect = suspects_[record.fingerprint];
  uint32_t& crashes = suspect.crashes[record.origin];
  crashes = std::max(crashes, record.crashes);
  suspect.expires = std::max(suspect.expires, record.expires);
}

std::vector<QuarantineRecord> Quarantine::Records(Millis now) const {
  std::vector<QuarantineRecord> list;
  for (const auto& [fingerprint, suspect] : suspects_) {
    auto own = suspect.crashes.find(self_);
    if (suspect.expires > now && own != suspect.crashes.end()) {
      list.push_back({fingerprint, self_, own->second, suspect.expires});
    }
  }
  return list;
}

void Quarantine::Trim(Millis now) {
  std::erase_if(suspects_,
                [&](const auto& it) { return it.second.expires <= now; });
  while (suspects_.size() > kMostRecords) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return a.second.expires < b.second.expires;
        }));
  }
}

}  // namespace bilberrypitch
