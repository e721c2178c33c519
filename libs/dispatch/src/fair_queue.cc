// The fair queue.
#include "dispatch/fair_queue.h"

#include <algorithm>
#include <limits>

#include "base/check.h"

namespace bilberrypitch {

double FairQueue::LowestWaiting() const {
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [workspace, lane] : lanes_) {
    if (lane.size > 0) {
      lowest = std::min(lowest, lane.counter);
    }
  }
  return lowest == std::numeric_limits<double>::infinity() ? 0 : lowest;
}

void FairQueue::Insert(QueuedRequest request, bool at_front) {
  Lane& lane = lanes_[request.workspace];
  if (lane.size == 0) {
    lane.counter = std::max(lane.counter, LowestWaiting());
  }
  lane.cost += request.cost_tokens;
  Fifo& fifo = lane.by_ref[request.ref];
  fifo.insert(at_front ? fifo.begin() : fifo.end(), std::move(request));
  ++lane.size;
  ++size_;
}

std::map<WorkspaceId, FairQueue::Lane>::iterator FairQueue::LongestLane() {
  return std::max_element(lanes_.begin(), lanes_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.size < b.second.size;
                          });
}

PushOutcome FairQueue::Push(QueuedRequest request) {
  PushOutcome outcome;
  if (size_ >= longest_) {
    auto longest = LongestLane();
    size_t own = lanes_[request.workspace].size;
    if (order_ == QueueOrder::kByArrival || longest == lanes_.end() ||
        longest->second.size <= own + 1) {
      return outcome;
    }
    Lane& lane = longest->second;
    auto newest = lane.by_ref.begin();
    for (auto it = lane.by_ref.begin(); it != lane.by_ref.end(); ++it) {
      if (it->second.back().enqueued > newest->second.back().enqueued) {
        newest = it;
      }
    }
    outcome.shed = Take(&lane, newest, std::prev(newest->second.end())).id;
  }
  Insert(std::move(request), false);
  outcome.accepted = true;
  BP_CHECK(size_ <= longest_ || outcome.shed.has_value(),
           "the queue keeps to its length");
  return outcome;
}

QueuedRequest FairQueue::Take(Lane* lane,
                              std::map<AdapterVersionRef, Fifo>::iterator it,
                              Fifo::iterator place) {
  QueuedRequest request = std::move(*place);
  it->second.erase(place);
  if (it->second.empty()) {
    lane->by_ref.erase(it);
  }
  --lane->size;
  lane->cost = lane->size == 0 ? 0 : lane->cost - request.cost_tokens;
  --size_;
  return request;
}

std::vector<FairQueue::Lane*> FairQueue::LanesInOrder() {
  std::vector<Lane*> lanes;
  for (auto& [workspace, lane] : lanes_) {
    if (lane.size > 0) {
      lanes.push_back(&lane);
    }
  }
  auto oldest = [](const Lane* lane) {
    Millis first = lane->by_ref.begin()->second.front().enqueued;
    for (const auto& [ref, fifo] : lane->by_ref) {
      first = std::min(first, fifo.front().enqueued);
    }
    return first;
  };
  std::stable_sort(
      lanes.begin(), lanes.end(), [&](const Lane* a, const Lane* b) {
        return order_ == QueueOrder::kFair ? a->counter < b->counter
                                           : oldest(a) < oldest(b);
      });
  return lanes;
}

std::optional<QueuedRequest> FairQueue::Pop(
    const std::function<bool(const QueuedRequest&)>& ready) {
  for (Lane* lane : LanesInOrder()) {
    auto best = lane->by_ref.end();
    for (auto it = lane->by_ref.begin(); it != lane->by_ref.end(); ++it) {
      bool older = best == lane->by_ref.end() ||
                   it->second.front().enqueued < best->second.front().enqueued;
      if (older && ready(it->second.front())) {
        best = it;
      }
    }
    if (best == lane->by_ref.end()) {
      continue;
    }
    QueuedRequest request = Take(lane, best, best->second.begin());
    lane->counter += request.cost_tokens / request.weight;
    return request;
  }
  return std::nullopt;
}

void FairQueue::Return(QueuedRequest request) {
  Lane& lane = lanes_[request.workspace];
  lane.counter -= request.cost_tokens / request.weight;
  Insert(std::move(request), true);
}

bool FairQueue::Remove(const RequestId& id) {
  for (auto& [workspace, lane] : lanes_) {
    for (auto it = lane.by_ref.begin(); it != lane.by_ref.end(); ++it) {
      for (auto place = it->second.begin(); place != it->second.end();
           ++place) {
        if (place->id == id) {
          Take(&lane, it, place);
          return true;
        }
      }
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(Millis now) {
  std::vector<QueuedRequest> expired;
  for (auto& [workspace, lane] : lanes_) {
    for (auto it = lane.by_ref.begin(); it != lane.by_ref.end();) {
      auto next = std::next(it);
      std::vector<Fifo::iterator> late;
      for (auto place = it->second.begin(); place != it->second.end();
           ++place) {
        if (place->deadline <= now) {
          late.push_back(place);
        }
      }
      for (Fifo::iterator place : late) {
        expired.push_back(Take(&lane, it, place));
      }
      it = next;
    }
  }
  return expired;
}

void FairQueue::Charge(const WorkspaceId& workspace, double weight,
                       double tokens) {
  auto it = lanes_.find(workspace);
  if (it != lanes_.end()) {
    it->second.counter += tokens / weight;
  }
}

double FairQueue::WaitingCost(const WorkspaceId& workspace) const {
  auto it = lanes_.find(workspace);
  return it == lanes_.end() ? 0 : it->second.cost;
}

std::vector<WaitingForWorkspace> FairQueue::WaitingByWorkspace() const {
  std::vector<WaitingForWorkspace> list;
  list.reserve(lanes_.size());
  for (const auto& [workspace, lane] : lanes_) {
    list.push_back({workspace, lane.cost});
  }
  return list;
}

std::vector<WaitingForAdapter> FairQueue::Waiting() const {
  std::map<AdapterVersionRef, WaitingForAdapter> all;
  for (const auto& [workspace, lane] : lanes_) {
    for (const auto& [ref, fifo] : lane.by_ref) {
      WaitingForAdapter& it = all[ref];
      Millis oldest = fifo.front().enqueued;
      it.oldest = it.count == 0 ? oldest : std::min(it.oldest, oldest);
      it.ref = ref;
      it.pool = fifo.front().pool;
      it.count += static_cast<uint32_t>(fifo.size());
    }
  }
  std::vector<WaitingForAdapter> list;
  list.reserve(all.size());
  for (const auto& [ref, it] : all) {
    list.push_back(it);
  }
  return list;
}

}  // namespace bilberrypitch
