// Prefill requests and grants between instances.
#include "gateway/prefill_service.h"

#include "base/hash.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/ownership.h"
#include "serving/token_count.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

struct PrefillService::EngineQueue {
  explicit EngineQueue(EventLoop* loop) : timer(loop) {}
  PrefillQueue queue;
  Timer timer;
};

PrefillService::PrefillService(EventLoop* loop, MachineId self,
                               Ownership* ownership,
                               UpstreamRegistry* upstreams,
                               PeerMessenger* peers, Hooks hooks)
    : loop_(loop),
      self_(std::move(self)),
      ownership_(ownership),
      upstreams_(upstreams),
      peers_(peers),
      hooks_(std::move(hooks)),
      // Random, so that an earlier process of this machine used other numbers.
      last_request_number_(StableHash(RandomHex(8)) >> 1) {}

PrefillService::~PrefillService() = default;

uint64_t PrefillService::RequestPrefill(const UpstreamId& engine,
                                        const ModelRef& target, int64_t tokens,
                                        int priority,
                                        std::function<void()> on_granted) {
  const OwnerRecord* owner = ownership_->OwnerOf(EngineResource(engine));
  if (owner == nullptr) {
    return 0;
  }
  uint64_t request_number = ++last_request_number_;
  PendingRequest& pending = pending_requests_[request_number];
  pending.engine = engine;
  pending.owner = owner->machine;
  pending.target = target;
  pending.tokens = tokens;
  pending.priority = priority;
  pending.on_granted = std::move(on_granted);
  Send(request_number, &pending);
  return request_number;
}

void PrefillService::RenewRequest(uint64_t request_number) {
  auto it = pending_requests_.find(request_number);
  if (it != pending_requests_.end()) {
    Send(request_number, &it->second);
  }
}

void PrefillService::Send(uint64_t request_number, PendingRequest* pending) {
  pending->owner_responded = false;
  if (pending->owner == self_) {
    pending->owner_responded = true;
    Enqueue(pending->engine, pending->target,
            {{self_, request_number}, pending->tokens, pending->priority});
    return;
  }
  schema::PeerItem item;
  auto* request = item.mutable_reading_question();
  request->set_engine(pending->engine.str());
  request->set_number(request_number);
  request->set_tokens(pending->tokens);
  request->set_urgency(static_cast<uint32_t>(pending->priority));
  if (pending->target.is_adapter()) {
    request->mutable_target()->set_model(pending->target.model.str());
    request->mutable_target()->set_adapter(pending->target.adapter.str());
  }
  peers_->Send(pending->owner, std::move(item));
}

bool PrefillService::OwnerResponded(uint64_t request_number) const {
  auto it = pending_requests_.find(request_number);
  return it != pending_requests_.end() && it->second.owner_responded;
}

void PrefillService::Release(uint64_t request_number, bool prefilled) {
  auto request = pending_requests_.find(request_number);
  if (request == pending_requests_.end()) {
    return;
  }
  PendingRequest pending = std::move(request->second);
  pending_requests_.erase(request);
  if (pending.owner == self_) {
    ReleaseAsOwner(pending.engine, {self_, request_number}, prefilled);
    return;
  }
  schema::PeerItem item;
  item.mutable_reading_done()->set_engine(pending.engine.str());
  item.mutable_reading_done()->set_number(request_number);
  item.mutable_reading_done()->set_read(prefilled);
  peers_->Send(pending.owner, std::move(item));
}

void PrefillService::OnResponse(const schema::ReadingAnswer& response) {
  OnQueuedTokens(UpstreamId(response.engine()), response.waiting_tokens());
  auto request = pending_requests_.find(response.number());
  if (request == pending_requests_.end()) {
    return;
  }
  request->second.owner_responded = true;
  if (response.granted()) {
    Grant(response.number());
  }
}

void PrefillService::Grant(uint64_t request_number) {
  auto request = pending_requests_.find(request_number);
  if (request == pending_requests_.end() || !request->second.on_granted) {
    return;
  }
  std::function<void()> on_granted = std::move(request->second.on_granted);
  request->second.on_granted = nullptr;
  on_granted();
}

void PrefillService::OnQueuedTokens(const UpstreamId& engine, int64_t tokens) {
  if (UpstreamState* upstream = upstreams_->Find(engine)) {
    upstream->queued_prefill_tokens = BoundTotalTokens(tokens);
    upstream->queued_prefill_tokens_at = EventLoop::Now();
  }
}

void PrefillService::OnRequest(const MachineId& from,
                               const schema::ReadingQuestion& request) {
  ModelRef target{ModelId(request.target().model()),
                  AdapterId(request.target().adapter())};
  Enqueue(UpstreamId(request.engine()), target,
          {{from, request.number()},
           request.tokens(),
           static_cast<int>(request.urgency())});
}

void PrefillService::OnRelease(const MachineId& from,
                               const schema::ReadingDone& done) {
  ReleaseAsOwner(UpstreamId(done.engine()), {from, done.number()}, done.read());
}

PrefillService::EngineQueue* PrefillService::GetOrCreateQueue(
    const UpstreamId& engine) {
  auto queue_entry = queues_.find(engine);
  if (queue_entry == queues_.end()) {
    queue_entry =
        queues_.emplace(engine, std::make_unique<EngineQueue>(loop_)).first;
  }
  queue_entry->second->queue.SetMaxEventGap(hooks_.max_event_gap(engine));
  return queue_entry->second.get();
}

int64_t PrefillService::QueuedTokens(const UpstreamId& engine) const {
  auto it = queues_.find(engine);
  return it == queues_.end() ? 0 : it->second->queue.queued_tokens();
}

void PrefillService::Enqueue(const UpstreamId& engine, const ModelRef& target,
                             const PrefillRequest& request) {
  if (target.is_adapter()) {
    hooks_.prompt_waiting(request.id.machine, engine, target);
  }
  GetOrCreateQueue(engine)->queue.OnRequest(request, EventLoop::Now());
  ProcessQueue(engine);
  auto it = queues_.find(engine);
  if (it != queues_.end() && it->second->queue.IsWaiting(request.id)) {
    Respond(engine, request.id, false, it->second->queue.queued_tokens());
  }
}

void PrefillService::ReleaseAsOwner(const UpstreamId& engine,
                                    const PrefillRequestId& id,
                                    bool prefilled) {
  auto it = queues_.find(engine);
  if (it != queues_.end()) {
    it->second->queue.OnRelease(id, prefilled, EventLoop::Now());
    ProcessQueue(engine);
  }
}

void PrefillService::ProcessQueue(const UpstreamId& engine) {
  auto queue_entry = queues_.find(engine);
  if (queue_entry == queues_.end()) {
    return;
  }
  EngineQueue* engine_queue = queue_entry->second.get();
  Millis now = EventLoop::Now();
  std::vector<PrefillRequestId> grants = engine_queue->queue.TakeGrants(now);
  int64_t queued_tokens = engine_queue->queue.queued_tokens();
  Millis due = engine_queue->queue.NextWakeup(now);
  if (due != Millis(0)) {
    engine_queue->timer.Start(due - now,
                              [this, engine] { ProcessQueue(engine); });
  }
  for (const PrefillRequestId& id : grants) {
    Respond(engine, id, true, queued_tokens);
  }
}

void PrefillService::Respond(const UpstreamId& engine,
                             const PrefillRequestId& id, bool granted,
                             int64_t queued_tokens) {
  if (id.machine == self_) {
    OnQueuedTokens(engine, queued_tokens);
    if (granted) {
      // Posted, because the caller of RequestPrefill has no number before it
      // returns.
      loop_->Post(
          [this, request_number = id.number] { Grant(request_number); });
    }
    return;
  }
  schema::PeerItem item;
  auto* response = item.mutable_reading_answer();
  response->set_number(id.number);
  response->set_granted(granted);
  response->set_engine(engine.str());
  response->set_waiting_tokens(queued_tokens);
  peers_->Send(id.machine, std::move(item));
}

void PrefillService::OnMachineRemoved(const MachineId& machine) {
  std::vector<UpstreamId> engines;
  for (auto& [engine, engine_queue] : queues_) {
    engine_queue->queue.OnMachineRemoved(machine);
    engines.push_back(engine);
  }
  for (const UpstreamId& engine : engines) {
    ProcessQueue(engine);
  }
}

void PrefillService::OnEngineReset(const UpstreamId& engine) {
  queues_.erase(engine);
}

}  // namespace bilberrypitch
