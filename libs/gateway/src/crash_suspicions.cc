// Broken connections that may have been crashes.
#include "gateway/crash_suspicions.h"

namespace bilberrypitch {
namespace {

constexpr Millis kOpenFor{6000};

}  // namespace

void CrashSuspicions::OnBroken(uint64_t fingerprint, const CrashId& crash,
                               Millis now) {
  while (!open_.empty() && now - open_.front().at > kOpenFor) {
    open_.pop_front();
  }
  open_.push_back({fingerprint, crash, now});
}

void CrashSuspicions::OnDown(const UpstreamId& upstream, Millis now) {
  for (auto it = open_.begin(); it != open_.end();) {
    bool same = it->crash.upstream == upstream && now - it->at <= kOpenFor;
    if (same) {
      confirm_(it->fingerprint, it->crash);
      it = open_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace bilberrypitch
