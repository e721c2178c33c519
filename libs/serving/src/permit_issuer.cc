// Choice of the issuers, and the token buckets of the permits.
#include "serving/permit_issuer.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bilberrypitch {
namespace {

constexpr size_t kIssuers = 2;
// As long as views of the members may differ.
constexpr Millis kStartTime{4000};
// A bucket holds what comes in within this time, and one permit more.
constexpr double kBurstS = 0.5;
// A bucket that nobody asks is dropped.
constexpr Millis kUnusedTime{60 * 1000};
constexpr size_t kDropThreshold = 256;
constexpr double kMsPerS = 1000;

}  // namespace

std::vector<MachineId> PermitIssuers(const UpstreamId& upstream,
                                     const std::vector<MachineId>& members) {
  std::vector<std::pair<uint64_t, MachineId>> ranked;
  ranked.reserve(members.size());
  for (const MachineId& machine : members) {
    ranked.emplace_back(StableHash(upstream.str(), machine.str()), machine);
  }
  size_t n = std::min(kIssuers, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(n),
                    ranked.end(), std::greater<>());
  std::vector<MachineId> issuers;
  for (size_t i = 0; i < n; ++i) {
    issuers.push_back(ranked[i].second);
  }
  return issuers;
}

Permit PermitIssuer::Issue(const UpstreamId& upstream, double limit_per_s,
                           double share, Millis max_wait, Millis now) {
  DropUnused(now);
  auto [it, added] = buckets_.try_emplace(upstream);
  Bucket& bucket = it->second;
  if (added) {
    bucket.level = start_level_;
    bucket.starts_until = members_changed_at_.value_or(now) + kStartTime;
    bucket.filled_at = now;
  }
  double rate = share * std::max(limit_per_s, kMinRatePerS);
  if (members_changed_at_ && now < bucket.starts_until) {
    rate *= kSubstituteShare;
  }
  Millis credit = std::min(now - bucket.filled_at, longest_credit_);
  double filled = rate * credit.seconds();
  bucket.level = std::min(1 + rate * kBurstS, bucket.level + filled);
  bucket.filled_at = now;
  Permit permit;
  double missing = std::max(0.0, 1 - bucket.level);
  permit.wait =
      Millis(static_cast<int64_t>(std::ceil(missing / rate * kMsPerS)));
  permit.granted = permit.wait <= max_wait;
  bucket.level -= permit.granted ? 1 : 0;
  return permit;
}

void PermitIssuer::Return(const UpstreamId& upstream) {
  auto it = buckets_.find(upstream);
  if (it != buckets_.end()) {
    it->second.level += 1;
  }
}

void PermitIssuer::DropUnused(Millis now) {
  if (buckets_.size() < kDropThreshold) {
    return;
  }
  std::erase_if(buckets_, [now](const auto& entry) {
    return now - entry.second.filled_at > kUnusedTime;
  });
}

}  // namespace bilberrypitch
