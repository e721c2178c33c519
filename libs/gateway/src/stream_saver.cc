// The calls to the store that save streams.
#include "gateway/stream_saver.h"

#include <algorithm>

#include "gateway/cluster_records.h"
#include "schema/cluster.pb.h"
#include "serving/cluster_store.h"
#include "transport/event_loop.h"

namespace bilberrypitch {
namespace {

// The lease of batches; they are given another one after half of it.
constexpr Millis kMaxBatchLease{10 * 60 * 1000};
constexpr size_t kMaxUnsaved = 50'000;

}  // namespace

StreamSaver::StreamSaver(EventLoop* loop, ClusterStore* store,
                         const ClusterMember& self, Millis time_to_live,
                         std::function<Millis()> interval)
    : store_(store),
      self_(self),
      time_to_live_(time_to_live),
      interval_(std::move(interval)),
      timer_(loop) {}

void StreamSaver::Add(const StreamGroup& group, StreamKey key) {
  if (unsaved_count_ < kMaxUnsaved) {
    unsaved_[group].push_back(key);
    ++unsaved_count_;
  }
  ScheduleSave();
}

void StreamSaver::ScheduleSave() {
  if (saving_ || unsaved_count_ == 0) {
    return;
  }
  saving_ = true;
  Millis due = last_save_at_ + interval_();
  timer_.Start(std::max(Millis(1), due - EventLoop::Now()), [this] { Save(); });
}

void StreamSaver::Save() {
  Millis now = EventLoop::Now();
  last_save_at_ = now;
  if (lease_ != 0 && now < lease_until_) {
    SaveBatch();
    return;
  }
  Millis lease_time = std::min(time_to_live_ * 2, kMaxBatchLease);
  store_->GrantLease(lease_time, [this](const StoreLeaseResult& result) {
    if (result.outcome != StoreOutcome::kOk) {
      saving_ = false;
      ScheduleSave();
      return;
    }
    lease_ = result.lease;
    lease_until_ = EventLoop::Now() + Millis(result.time_to_live.count() / 2);
    SaveBatch();
  });
}

std::string StreamSaver::EncodeBatch(const StreamGroups& groups) const {
  schema::StreamBatchValue batch;
  for (const auto& [group, keys] : groups) {
    schema::StreamsOfVersion* added = batch.add_groups();
    added->set_service(group.first.str());
    added->set_software(group.second.str());
    added->set_time_left_ms(time_to_live_.count());
    for (StreamKey key : keys) {
      added->add_streams(static_cast<uint64_t>(key));
    }
  }
  return batch.SerializeAsString();
}

void StreamSaver::SaveBatch() {
  StreamGroups groups = std::exchange(unsaved_, {});
  unsaved_count_ = 0;
  StoreTransaction transaction;
  transaction.writes.push_back(
      {StreamBatchKey(self_, ++last_batch_), EncodeBatch(groups), lease_});
  store_->Commit(std::move(transaction), [this, groups = std::move(groups)](
                                             const StoreCommitResult& result) {
    saving_ = false;
    if (result.outcome == StoreOutcome::kLeaseNotFound) {
      lease_ = 0;
    }
    if (result.outcome != StoreOutcome::kOk) {
      for (const auto& [group, keys] : groups) {
        for (StreamKey key : keys) {
          Add(group, key);
        }
      }
    }
    ScheduleSave();
  });
}

}  // namespace bilberrypitch
