// Questions about prompts between instances.
#include "gateway/prefill_service.h"

#include "base/hash.h"
#include "gateway/peer_messenger.h"
#include "schema/cluster.pb.h"
#include "serving/ownership.h"
#include "serving/upstream_registry.h"
#include "transport/event_loop.h"
#include "transport/timer.h"

namespace bilberrypitch {

struct PrefillService::Queue {
  explicit Queue(EventLoop* loop) : timer(loop) {}
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
      // Another process of this machine used other numbers.
      last_number_(StableHash(RandomHex(8)) >> 1) {}

PrefillService::~PrefillService() = default;

uint64_t PrefillService::RequestPrefill(const UpstreamId& engine,
                                        int64_t tokens, int urgency,
                                        std::function<void()> granted) {
  const OwnerRecord* owner = ownership_->OwnerOf(EngineResource(engine));
  if (owner == nullptr) {
    return 0;
  }
  uint64_t number = ++last_number_;
  Open& it = open_[number];
  it.engine = engine;
  it.owner = owner->machine;
  it.tokens = tokens;
  it.urgency = urgency;
  it.granted = std::move(granted);
  Send(number, &it);
  return number;
}

void PrefillService::RenewRequest(uint64_t number) {
  auto it = open_.find(number);
  if (it != open_.end()) {
    Send(number, &it->second);
  }
}

void PrefillService::Send(uint64_t number, Open* open) {
  open->heard = false;
  if (open->owner == self_) {
    open->heard = true;
    Enqueue(open->engine, {{self_, number}, open->tokens, open->urgency});
    return;
  }
  schema::PeerItem item;
  auto* question = item.mutable_reading_question();
  question->set_engine(open->engine.str());
  question->set_number(number);
  question->set_tokens(open->tokens);
  question->set_urgency(static_cast<uint32_t>(open->urgency));
  peers_->Send(open->owner, std::move(item));
}

bool PrefillService::OwnerResponded(uint64_t number) const {
  auto it = open_.find(number);
  return it != open_.end() && it->second.heard;
}

void PrefillService::Done(uint64_t number, bool read) {
  auto it = open_.find(number);
  if (it == open_.end()) {
    return;
  }
  Open open = std::move(it->second);
  open_.erase(it);
  if (open.owner == self_) {
    Release(open.engine, {self_, number}, read);
    return;
  }
  schema::PeerItem item;
  item.mutable_reading_done()->set_engine(open.engine.str());
  item.mutable_reading_done()->set_number(number);
  item.mutable_reading_done()->set_read(read);
  peers_->Send(open.owner, std::move(item));
}

void PrefillService::OnResponse(const schema::ReadingAnswer& answer) {
  NoteWaiting(UpstreamId(answer.engine()), answer.waiting_tokens());
  auto it = open_.find(answer.number());
  if (it == open_.end()) {
    return;
  }
  it->second.heard = true;
  if (answer.granted()) {
    Grant(answer.number());
  }
}

void PrefillService::Grant(uint64_t number) {
  auto it = open_.find(number);
  if (it == open_.end() || !it->second.granted) {
    return;
  }
  std::function<void()> granted = std::move(it->second.granted);
  it->second.granted = nullptr;
  granted();
}

void PrefillService::NoteWaiting(const UpstreamId& engine, int64_t tokens) {
  if (UpstreamState* it = upstreams_->Find(engine)) {
    it->queued_prefill_tokens = tokens;
    it->queued_prefill_tokens_at = EventLoop::Now();
  }
}

void PrefillService::OnRequest(const MachineId& from,
                               const schema::ReadingQuestion& question) {
  Enqueue(UpstreamId(question.engine()),
          {{from, question.number()},
           question.tokens(),
           static_cast<int>(question.urgency())});
}

void PrefillService::OnRelease(const MachineId& from,
                               const schema::ReadingDone& done) {
  Release(UpstreamId(done.engine()), {from, done.number()}, done.read());
}

PrefillService::Queue* PrefillService::QueueOf(const UpstreamId& engine) {
  auto it = queues_.find(engine);
  if (it == queues_.end()) {
    it = queues_.emplace(engine, std::make_unique<Queue>(loop_)).first;
  }
  it->second->queue.SetMaxEventGap(hooks_.max_event_gap(engine));
  return it->second.get();
}

void PrefillService::Enqueue(const UpstreamId& engine,
                             const PrefillRequest& ask) {
  QueueOf(engine)->queue.OnRequest(ask, EventLoop::Now());
  Run(engine);
  auto it = queues_.find(engine);
  if (it != queues_.end() && it->second->queue.IsWaiting(ask.ticket)) {
    Answer(engine, ask.ticket, false, it->second->queue.waiting_tokens());
  }
}

void PrefillService::Release(const UpstreamId& engine,
                             const PrefillRequestId& ticket, bool read) {
  auto it = queues_.find(engine);
  if (it != queues_.end()) {
    it->second->queue.OnRelease(ticket, read, EventLoop::Now());
    Run(engine);
  }
}

void PrefillService::Run(const UpstreamId& engine) {
  auto it = queues_.find(engine);
  if (it == queues_.end()) {
    return;
  }
  Queue* queue = it->second.get();
  Millis now = EventLoop::Now();
  std::vector<PrefillRequestId> grants = queue->queue.TakeGrants(now);
  int64_t waiting = queue->queue.waiting_tokens();
  Millis due = queue->queue.NextWakeup(now);
  if (due != Millis(0)) {
    queue->timer.Start(due - now, [this, engine] { Run(engine); });
  }
  for (const PrefillRequestId& ticket : grants) {
    Answer(engine, ticket, true, waiting);
  }
}

void PrefillService::Answer(const UpstreamId& engine,
                            const PrefillRequestId& ticket, bool granted,
                            int64_t waiting_tokens) {
  if (ticket.machine == self_) {
    NoteWaiting(engine, waiting_tokens);
    if (granted) {
      // Not within RequestPrefill: its caller has no number yet.
      loop_->Post([this, number = ticket.number] { Grant(number); });
    }
    return;
  }
  schema::PeerItem item;
  auto* answer = item.mutable_reading_answer();
  answer->set_number(ticket.number);
  answer->set_granted(granted);
  answer->set_engine(engine.str());
  answer->set_waiting_tokens(waiting_tokens);
  peers_->Send(ticket.machine, std::move(item));
}

void PrefillService::OnMachineRemoved(const MachineId& machine) {
  std::vector<UpstreamId> engines;
  for (auto& [engine, it] : queues_) {
    it->queue.OnMachineRemoved(machine);
    engines.push_back(engine);
  }
  for (const UpstreamId& it : engines) {
    Run(it);
  }
}

void PrefillService::OnEngineLeft(const UpstreamId& engine) {
  queues_.erase(engine);
}

}  // namespace bilberrypitch
