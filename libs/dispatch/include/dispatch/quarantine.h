// Finds requests that crash each upstream that runs them.
//
// A fingerprint collects the crashes that it was present at, summed over the
// instances that saw them. One that was present at a crash is a suspect: it
// runs again only after the word of other instances' crashes has had time to
// arrive, and only alone, that is with no other suspect beside it at that
// upstream. A second crash quarantines it on all instances for a time.
//
// Bound, stated before it was measured: one poison request crashes at most 2
// upstreams through one instance, and at most 1 more through each other
// instance that begins it before the first's word arrives.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strong.h"

namespace bilberrypitch {

// What one instance saw of one fingerprint.
struct QuarantineRecord {
  Fingerprint fingerprint;
  InstanceId origin;
  uint32_t crashes = 0;
  Millis expires;
};

enum class QuarantineVerdict : uint8_t {
  kFree,         // Runs as any other.
  kAlone,        // A suspect: may run where no other suspect runs.
  kBusy,         // A suspect that runs already or may not run yet: wait.
  kQuarantined,  // Refused.
};

// The fingerprint of a request: of its adapter, version and body.
Fingerprint FingerprintOf(const std::string& model, const std::string& body);

// Not thread-safe; its owner holds the lock.
class Quarantine {
 public:
  explicit Quarantine(InstanceId self) : self_(std::move(self)) {}

  QuarantineVerdict Judge(const Fingerprint& fingerprint, Millis now) const;
  // Whether a suspect may begin at `upstream`: no other suspect runs there.
  bool MayRunAlone(const UpstreamId& upstream) const;
  void OnBegin(const Fingerprint& fingerprint, const UpstreamId& upstream);
  void OnEnd(const Fingerprint& fingerprint, const UpstreamId& upstream);
  // An upstream crashed while these ran there.
  void OnCrash(const std::vector<Fingerprint>& running, Millis now);
  // It ran whole: no longer a suspect here.
  void OnSuccess(const Fingerprint& fingerprint);
  // What another instance knows; `expires` is on this instance's clock.
  void OnGossip(const QuarantineRecord& record);
  // What this instance itself saw.
  std::vector<QuarantineRecord> Records(Millis now) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::map<InstanceId, uint32_t> crashes;  // By the instance that saw them.
    Millis not_before;
    Millis expires;
  };

  static uint32_t Total(const Suspect& suspect);
  void Trim(Millis now);

  const InstanceId self_;
  std::map<Fingerprint, Suspect> suspects_;
  std::map<UpstreamId, std::multiset<Fingerprint>> suspects_running_;
};

}  // namespace bilberrypitch
