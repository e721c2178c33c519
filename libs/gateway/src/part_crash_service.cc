// Notices between instances about prompt parts, and their records in the store.
#include "gateway/part_crash_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/cluster_records.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// Time for the other instances to object before a part is quarantined.
constexpr Millis kObjectionTime{100};
constexpr Millis kRecordRetryDelay{400};
constexpr size_t kMaxEnded = 1024;

uint64_t ToNumber(PartId part) { return static_cast<uint64_t>(part); }

}  // namespace

PartCrashService::PartCrashService(EventLoop* loop, const MachineId& self,
                                   PartCrashTracker* tracker,
                                   ClusterStore* store, PeerMessenger* peers,
                                   AliveCheck check_alive)
    : self_(self),
      tracker_(tracker),
      store_(store),
      peers_(peers),
      check_alive_(std::move(check_alive)),
      accusation_timer_(loop),
      record_timer_(loop) {}

void PartCrashService::OnConnectionBroken(const PartCrash& suspicion) {
  tracker_->OnConnectionBroken(suspicion, EventLoop::Now());
  // Its record in the store may stay for seconds after it has ended.
  check_alive_(suspicion.id, [this, id = suspicion.id](bool alive) {
    if (!alive) {
      OnUpstreamDown(id.upstream);
    }
  });
}

void PartCrashService::OnUpstreamDown(const UpstreamId& upstream) {
  for (const PartCrash& crash :
       tracker_->OnUpstreamDown(upstream, EventLoop::Now())) {
    schema::PeerItem item;
    schema::PartCrashNotice* notice = item.mutable_part_crash();
    notice->set_upstream(crash.id.upstream.str());
    notice->set_started_ms(crash.id.started_ms);
    notice->set_fingerprint(crash.fingerprint);
    for (PartId part : crash.parts) {
      notice->add_parts(ToNumber(part));
    }
    peers_->Broadcast(item);
  }
  AccuseParts();
}

void PartCrashService::OnResponseBegun(const std::vector<PartId>& parts) {
  for (PartId part : tracker_->OnBegun(parts, EventLoop::Now())) {
    EndQuarantineEverywhere(part);
  }
  AccuseParts();
}

void PartCrashService::OnCrashNotice(const schema::PartCrashNotice& notice) {
  PartCrash crash;
  crash.id = {UpstreamId(notice.upstream()), notice.started_ms()};
  crash.fingerprint = notice.fingerprint();
  for (uint64_t part : notice.parts()) {
    crash.parts.push_back(PartId{part});
  }
  tracker_->OnPeerCrash(crash, EventLoop::Now());
}

// Without peers there is nobody to wait for.
void PartCrashService::AccuseParts() {
  Millis now = EventLoop::Now();
  for (PartId part : tracker_->TakeAccused(now)) {
    LogInfo("crash", "Accuses part={:x}.", ToNumber(part));
    SendAccusation(part, false);
    accused_[part] = peers_->peers().empty() ? now : now + kObjectionTime;
  }
  JudgeAccused();
}

void PartCrashService::JudgeAccused() {
  Millis now = EventLoop::Now();
  std::vector<PartId> due;
  Millis next;
  for (const auto& [part, at] : accused_) {
    if (at <= now) {
      due.push_back(part);
    } else if (next == Millis(0) || at < next) {
      next = at;
    }
  }
  for (PartId part : due) {
    accused_.erase(part);
    if (tracker_->ReachesLimit(part, now)) {
      Declare(part);
    }
  }
  if (next != Millis(0)) {
    accusation_timer_.Start(next - now, [this] { JudgeAccused(); });
  }
}

void PartCrashService::Declare(PartId part) {
  LogWarning("crash", "Quarantined part={:x}: upstreams crash under it.",
             ToNumber(part));
  SendAccusation(part, true);
  ended_.erase(part);
  tracker_->Quarantine(part, true, EventLoop::Now());
  declared_.insert(part);
  unrecorded_.insert(part);
  WriteRecords();
}

void PartCrashService::OnAccusation(const MachineId& from,
                                    const schema::PartAccusation& accusation) {
  PartId part{accusation.part()};
  Millis now = EventLoop::Now();
  Millis first_crash_at = now - Millis(accusation.first_crash_age_ms());
  std::optional<Millis> begun = tracker_->LastBegun(part);
  if (begun) {
    SendObjection(from, part, now - *begun);
  }
  bool disproved = begun && *begun > first_crash_at;
  if (accusation.quarantined() && !disproved) {
    LogInfo("crash", "Part={:x} is quarantined by {}.", ToNumber(part),
            from.str());
    ended_.erase(part);
    tracker_->Quarantine(part, false, now);
  }
}

void PartCrashService::OnPartBegun(const schema::PartBegun& begun) {
  PartId part{begun.part()};
  Millis now = EventLoop::Now();
  bool ended = tracker_->OnPeerBegun(part, now - Millis(begun.age_ms()), now);
  if (begun.ends_quarantine()) {
    tracker_->EndQuarantine(part);
    ForgetQuarantine(part);
  } else if (ended && declared_.count(part) > 0) {
    EndQuarantineEverywhere(part);
  }
}

void PartCrashService::OnStoreItem(const StoreItem& item) {
  std::optional<PartId> part = PartFromKey(item.key);
  if (!part) {
    return;
  }
  if (!item.deleted) {
    bool may_be_of_copy = item.revision.era > era_;
    if (may_be_of_copy && ended_.count(*part) > 0) {
      returned_[*part] = item.revision;
      return;
    }
    ended_.erase(*part);
    tracker_->Quarantine(*part, false, EventLoop::Now());
    recorded_.insert(*part);
    unrecorded_.erase(*part);
    return;
  }
  returned_.erase(*part);
  declared_.erase(*part);
  if (recorded_.erase(*part) > 0 && tracker_->EndQuarantine(*part)) {
    RememberEnded(*part);
    LogInfo("crash", "Part={:x} is no longer quarantined.", ToNumber(*part));
  }
}

void PartCrashService::OnFullRead(const std::set<std::string>& keys,
                                  int64_t era) {
  bool new_era = era > era_;
  era_ = std::max(era_, era);
  std::vector<PartId> removed;
  for (PartId part : recorded_) {
    if (keys.count(QuarantinedPartKey(part)) == 0) {
      removed.push_back(part);
    }
  }
  if (new_era) {
    WriteAgain(removed);
    DeleteReturned();
    return;
  }
  for (PartId part : removed) {
    recorded_.erase(part);
    declared_.erase(part);
    tracker_->EndQuarantine(part);
  }
}

void PartCrashService::WriteAgain(const std::vector<PartId>& parts) {
  for (PartId part : parts) {
    recorded_.erase(part);
    if (declared_.count(part) > 0 || IsFirstMember()) {
      unrecorded_.insert(part);
    }
  }
  // One whose record was acknowledged may not have been seen in the store.
  for (PartId part : declared_) {
    if (recorded_.count(part) == 0) {
      unrecorded_.insert(part);
    }
  }
  WriteRecords();
}

void PartCrashService::DeleteReturned() {
  for (const auto& [part, revision] : std::exchange(returned_, {})) {
    if (!IsFirstMember()) {
      continue;
    }
    StoreTransaction transaction;
    transaction.conditions.push_back({QuarantinedPartKey(part), revision});
    transaction.deletes.push_back(QuarantinedPartKey(part));
    store_->Commit(std::move(transaction), [](const StoreCommitResult&) {});
  }
}

bool PartCrashService::IsFirstMember() const {
  return peers_->peers().empty() || self_ < peers_->peers().begin()->first;
}

// A lease of its own ends the record, so that no instance has to.
void PartCrashService::WriteRecords() {
  for (PartId part : unrecorded_) {
    store_->GrantLease(
        PartCrashTracker::kQuarantineTime,
        [this, part](const StoreLeaseResult& result) {
          if (result.outcome == StoreOutcome::kOk && result.lease != 0) {
            WriteRecord(part, result.lease);
          }
        });
  }
  if (!unrecorded_.empty()) {
    record_timer_.Start(kRecordRetryDelay, [this] { WriteRecords(); });
  }
}

void PartCrashService::WriteRecord(PartId part, int64_t lease) {
  if (unrecorded_.count(part) == 0) {
    store_->RevokeLease(lease);
    return;
  }
  StoreTransaction transaction;
  std::string key = QuarantinedPartKey(part);
  transaction.conditions.push_back({key, StoreRevision()});
  transaction.writes.push_back({key, EncodeQuarantinedPart(self_), lease});
  store_->Commit(std::move(transaction),
                 [this, part, lease](const StoreCommitResult& result) {
                   if (result.outcome == StoreOutcome::kOk) {
                     unrecorded_.erase(part);
                   } else if (result.outcome == StoreOutcome::kConflict) {
                     unrecorded_.erase(part);
                     store_->RevokeLease(lease);
                   }
                 });
}

// If the deletion of the record fails, its lease ends it.
void PartCrashService::EndQuarantineEverywhere(PartId part) {
  schema::PeerItem item;
  item.mutable_part_begun()->set_part(ToNumber(part));
  item.mutable_part_begun()->set_ends_quarantine(true);
  peers_->Broadcast(item);
  if (recorded_.count(part) > 0 || declared_.count(part) > 0) {
    StoreTransaction transaction;
    transaction.deletes.push_back(QuarantinedPartKey(part));
    store_->Commit(std::move(transaction), [](const StoreCommitResult&) {});
  }
  ForgetQuarantine(part);
}

void PartCrashService::ForgetQuarantine(PartId part) {
  LogWarning("crash", "Part={:x} has begun; its quarantine ends.",
             ToNumber(part));
  accused_.erase(part);
  declared_.erase(part);
  unrecorded_.erase(part);
  recorded_.erase(part);
  RememberEnded(part);
}

void PartCrashService::RememberEnded(PartId part) {
  Millis now = EventLoop::Now();
  std::erase_if(ended_, [now](const auto& entry) {
    return now - entry.second > PartCrashTracker::kQuarantineTime;
  });
  if (ended_.size() < kMaxEnded) {
    ended_[part] = now;
  }
}

void PartCrashService::SendAccusation(PartId part, bool quarantined) {
  schema::PeerItem item;
  item.mutable_part_accusation()->set_part(ToNumber(part));
  item.mutable_part_accusation()->set_quarantined(quarantined);
  Millis now = EventLoop::Now();
  item.mutable_part_accusation()->set_first_crash_age_ms(
      (now - tracker_->FirstCrashAt(part, now)).count());
  peers_->Broadcast(item);
}

void PartCrashService::SendObjection(const MachineId& to, PartId part,
                                     Millis age) {
  schema::PeerItem item;
  item.mutable_part_begun()->set_part(ToNumber(part));
  item.mutable_part_begun()->set_age_ms(age.count());
  peers_->Send(to, item);
}

}  // namespace bilberrypitch
