// Choice of readers, and timing of the calls to readers and to the store.
#include "serving/store_follower.h"

#include <algorithm>

#include "base/hash.h"
#include "serving/zone_readers.h"

namespace bilberrypitch {
namespace {

// Members after the readers that are queried when no reader responds.
constexpr size_t kSpareReaders = 2;
// An instance watches the store for this long after it was queried.
constexpr Millis kServeTime{2000};
// An instance that has started waits this long for the readers of its zone,
// which may have started at the same time.
constexpr Millis kInitialReaderTime{2500};
// A reader is not queried again for this time.
constexpr Millis kAvoidNotCurrent{300};
constexpr Millis kAvoidUnresponsive{2000};
// Time for the store's response, in the maximum age of a reader's view.
constexpr Millis kReaderAgeMargin{300};

constexpr Millis kRetryDelayStep{100};
constexpr Millis kMaxRetryDelay{600};
// Of an instance that is no reader: the readers try more often.
constexpr Millis kFollowerRetryDelay{1500};
// For about this long after the store has recovered, records may be missing.
constexpr Millis kRecoveryTime{2500};
// How long a record may take to return that is missing when the store has just
// recovered.
constexpr Millis kReturnTime{2000};
// The same until another instance has told whether there was an outage. Longer
// than a reader holds a query, so that its followers hear of it in time.
constexpr Millis kVerdictTime{700};
constexpr int kMaxToleratedFailures = 1;

}  // namespace

StoreFollower::StoreFollower(const ClusterMember& self,
                             StoreSyncIntervals intervals)
    : self_(self.machine), zone_(self.zone), intervals_(intervals) {
  OnMember(self);
}

void StoreFollower::OnMember(const ClusterMember& member) {
  if (member.zone != zone_) {
    return;
  }
  auto it = std::find_if(
      members_.begin(), members_.end(),
      [&](const ZoneMember& known) { return known.machine == member.machine; });
  if (it == members_.end()) {
    members_.push_back({member.machine, member.cpu_share});
  } else {
    it->cpu_share = member.cpu_share;
    avoid_until_.erase(member.machine);
  }
  std::sort(members_.begin(), members_.end(),
            [](const ZoneMember& first, const ZoneMember& second) {
              return PrecedesAsReader(first.machine, first.cpu_share,
                                      second.machine, second.cpu_share);
            });
}

void StoreFollower::OnMemberRemoved(const MachineId& machine) {
  if (machine == self_) {
    return;
  }
  std::erase_if(members_, [&](const ZoneMember& member) {
    return member.machine == machine;
  });
  avoid_until_.erase(machine);
}

Millis StoreFollower::MaxReaderAge() const {
  return intervals_.watch_pause + ReaderWatchTimeout() + kReaderAgeMargin;
}

Millis StoreFollower::ReaderWatchTimeout() const {
  return Millis(intervals_.watch_pause.count() / 2);
}

bool StoreFollower::IsYoung(Millis now) const {
  return now - confirmed_at_ <= MaxReaderAge();
}

bool StoreFollower::IsReader() const {
  size_t count = ReaderCount(members_.size());
  for (size_t i = 0; i < count; ++i) {
    if (members_[i].machine == self_) {
      return true;
    }
  }
  return false;
}

bool StoreFollower::IsQueried(Millis now) const {
  return was_queried_ && now - queried_at_ < kServeTime;
}

bool StoreFollower::WatchesStore(Millis now) const {
  return IsReader() || IsQueried(now);
}

bool StoreFollower::IsAvoided(const MachineId& machine, Millis now) const {
  auto it = avoid_until_.find(machine);
  return it != avoid_until_.end() && now < it->second;
}

MachineId StoreFollower::ChooseReader(Millis now) const {
  size_t readers = ReaderCount(members_.size());
  size_t candidates = std::min(members_.size(), readers + kSpareReaders);
  // Followers are spread over the readers; spares come last, in order.
  size_t first = StableHash(self_.str()) % readers;
  for (size_t i = 0; i < candidates; ++i) {
    size_t index = i < readers ? (first + i) % readers : i;
    const MachineId& machine = members_[index].machine;
    if (machine != self_ && !IsAvoided(machine, now)) {
      return machine;
    }
  }
  return MachineId();
}

StoreCall StoreFollower::NextCall(Millis now) const {
  StoreCall call;
  call.revision = revision_;
  if (!knows_members_) {
    call.kind = StoreCallKind::kReadZoneMembers;
    return call;
  }
  if (!WatchesStore(now) && MayTryReaders(now)) {
    call.reader = ChooseReader(now);
  }
  if (!call.reader.empty()) {
    call.kind = StoreCallKind::kQueryReader;
    call.timeout = QueryTimeout();
    return call;
  }
  call.kind =
      needs_full_read_ ? StoreCallKind::kReadAll : StoreCallKind::kWatch;
  call.timeout =
      IsQueried(now) ? ReaderWatchTimeout() : intervals_.watch_timeout;
  return call;
}

bool StoreFollower::MayTryReaders(Millis now) const {
  if (!has_synced_) {
    return now - members_read_at_ < kInitialReaderTime;
  }
  // One reader after the other must not be tried until the view is too old.
  return !skip_readers_ && (IsYoung(now) || unavailable_);
}

void StoreFollower::ConfirmAt(Millis at) {
  if (at > confirmed_at_) {
    confirmed_at_ = at;
    outage_.OnConfirmed(at);
  }
}

void StoreFollower::OnStoreResponse(Millis now) {
  skip_readers_ = false;
  consecutive_failures_ = 0;
  outage_.OnSuccess();
  if (unavailable_) {
    unavailable_ = false;
    recovered_at_ = now;
  }
}

bool StoreFollower::OnEra(int64_t era, Millis now) {
  if (era > era_) {
    era_ = era;
    needs_full_read_ = true;
    if (has_synced_) {
      // Records that the copy lacks may be written again.
      recovered_at_ = now;
      outage_.Judge(StoreOutage::Verdict::kRestored);
    }
  }
  return era == era_;
}

Millis StoreFollower::OnZoneMembersRead(Millis now) {
  OnStoreResponse(now);
  knows_members_ = true;
  members_read_at_ = now;
  return Millis(0);
}

Millis StoreFollower::OnFullRead(StoreRevision revision, Millis sent_at,
                                 Millis now) {
  OnStoreResponse(now);
  has_synced_ = true;
  needs_full_read_ = false;
  revision_ = std::max(revision_, revision);
  ConfirmAt(sent_at);
  store_confirmed_at_ = sent_at;
  return Millis(0);
}

Millis StoreFollower::OnStoreChanges(StoreRevision revision, bool changed,
                                     Millis sent_at, Millis now) {
  OnStoreResponse(now);
  revision_ = std::max(revision_, revision);
  ConfirmAt(sent_at);
  store_confirmed_at_ = sent_at;
  // Upstreams write all the time, and each watch call that returns has a cost.
  // The pause lets one watch collect several writes.
  bool next_is_watch = NextCall(now).kind == StoreCallKind::kWatch;
  return changed && next_is_watch ? intervals_.watch_pause : Millis(0);
}

Millis StoreFollower::OnHistoryCompacted(Millis now) {
  OnStoreResponse(now);
  needs_full_read_ = true;
  return Millis(0);
}

Millis StoreFollower::OnStoreFailure(Millis now) {
  store_confirmed_at_ = Millis(0);
  skip_readers_ = false;
  ++consecutive_failures_;
  outage_.OnFailure(now);
  if (!unavailable_ && consecutive_failures_ > kMaxToleratedFailures) {
    unavailable_ = true;
    outage_.OnLost();
    unavailable_since_ = now;
  }
  if (unavailable_ && !WatchesStore(now)) {
    return kFollowerRetryDelay;
  }
  return std::min(kMaxRetryDelay, kRetryDelayStep * consecutive_failures_);
}

Millis StoreFollower::OnReaderChanges(const MachineId& reader,
                                      const StoreChanges& changes,
                                      Millis sent_at, Millis now) {
  if (!Accepts(changes)) {
    return OnReaderFailure(reader, ReaderFailure::kNotCurrent, now);
  }
  OnEra(changes.revision.era, now);
  avoid_until_.erase(reader);
  OnStoreResponse(now);
  outage_.Judge(changes.returns_for > Millis(0)
                    ? StoreOutage::Verdict::kOutage
                    : StoreOutage::Verdict::kCutOff);
  has_synced_ = true;
  needs_full_read_ = false;
  revision_ = std::max(revision_, changes.revision);
  // The query arrived after it was sent, so this is not too late.
  ConfirmAt(std::min(sent_at + changes.confirmed_after_arrival, now));
  return Millis(0);
}

Millis StoreFollower::OnReaderFailure(const MachineId& reader,
                                      ReaderFailure failure, Millis now) {
  avoid_until_[reader] =
      now + (failure == ReaderFailure::kNotCurrent ? kAvoidNotCurrent
                                                   : kAvoidUnresponsive);
  skip_readers_ = failure == ReaderFailure::kNoResponse;
  bool may_wait = has_synced_ ? IsYoung(now) : MayTryReaders(now);
  if (!skip_readers_ && may_wait && ChooseReader(now).empty()) {
    // All have lost the store for a moment. If every follower turned to the
    // store at once, it would be under the load that the readers prevent.
    return kAvoidNotCurrent;
  }
  return Millis(0);
}

bool StoreFollower::Accepts(const StoreChanges& changes) const {
  bool continues = has_synced_ && changes.revision.era == revision_.era;
  return changes.revision.era >= era_ && (changes.complete || continues);
}

bool StoreFollower::IsRecovering(Millis now) const {
  return unavailable_ ||
         (recovered_at_ != Millis(0) && now - recovered_at_ < kRecoveryTime);
}

Millis StoreFollower::ReturnDeadline(Millis now) const {
  if (!IsRecovering(now)) {
    return Millis(0);
  }
  if (unavailable_) {
    return now + kReturnTime;
  }
  Millis last = recovered_at_ + kRecoveryTime;
  switch (outage_.verdict()) {
    case StoreOutage::Verdict::kCutOff:
      return Millis(0);
    case StoreOutage::Verdict::kAsked:
      return recovered_at_ + kVerdictTime;
    case StoreOutage::Verdict::kNobodyAsked:
    case StoreOutage::Verdict::kOutage:
    case StoreOutage::Verdict::kRestored:
      break;
  }
  return std::min(now + kReturnTime, last);
}

Millis StoreFollower::ReturnDeadlineOf(const StoreChanges& changes,
                                       Millis now) {
  return changes.returns_for > Millis(0) ? now + changes.returns_for
                                         : Millis(0);
}

bool StoreFollower::CanServe(Millis now) const {
  return has_synced_ && !needs_full_read_ && !unavailable_ &&
         store_confirmed_at_ != Millis(0) && now <= ServesUntil();
}

}  // namespace bilberrypitch
