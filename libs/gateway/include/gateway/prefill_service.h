// Asks the owner of an engine whether a prompt may go there, or answers as the
// owner. See serving/prefill_queue.h.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "serving/prefill_queue.h"

namespace bilberrypitch {

class EventLoop;
class Ownership;
class PeerMessenger;
class UpstreamRegistry;
namespace schema {
class ReadingAnswer;
class ReadingDone;
class ReadingQuestion;
}  // namespace schema

// On the loop's thread only.
class PrefillService {
 public:
  struct Hooks {
    // Zero: no pause is stated for the engine's service.
    std::function<Millis(const UpstreamId& engine)> max_event_gap;
  };

  PrefillService(EventLoop* loop, MachineId self, Ownership* ownership,
                 UpstreamRegistry* upstreams, PeerMessenger* peers,
                 Hooks hooks);
  ~PrefillService();

  // Asks; `granted` is called once, after the return. Returns the number
  // of the question; 0: the engine has no owner to ask.
  uint64_t RequestPrefill(const UpstreamId& engine, int64_t tokens, int urgency,
                          std::function<void()> granted);
  // Asks once more, so that the place is kept and a lost answer comes again.
  void RenewRequest(uint64_t number);
  // Whether the owner has answered since the last (repeated) question.
  bool OwnerResponded(uint64_t number) const;
  // The prompt was read, or the request ended or goes elsewhere.
  void Done(uint64_t number, bool read);

  void OnRequest(const MachineId& from,
                 const schema::ReadingQuestion& question);
  void OnResponse(const schema::ReadingAnswer& answer);
  void OnRelease(const MachineId& from, const schema::ReadingDone& done);
  void OnMachineRemoved(const MachineId& machine);
  void OnEngineLeft(const UpstreamId& engine);

 private:
  struct Queue;
  struct Open {
    UpstreamId engine;
    MachineId owner;
    int64_t tokens = 0;
    int urgency = 0;
    bool heard = false;
    std::function<void()> granted;  // Empty once it was called.
  };

  void Send(uint64_t number, Open* open);
  void Grant(uint64_t number);
  void Enqueue(const UpstreamId& engine, const PrefillRequest& ask);
  void Release(const UpstreamId& engine, const PrefillRequestId& ticket,
               bool read);
  Queue* QueueOf(const UpstreamId& engine);
  void Run(const UpstreamId& engine);
  void Answer(const UpstreamId& engine, const PrefillRequestId& ticket,
              bool granted, int64_t waiting_tokens);
  void NoteWaiting(const UpstreamId& engine, int64_t tokens);

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  std::map<UpstreamId, std::unique_ptr<Queue>> queues_;  // As the owner.
  std::map<uint64_t, Open> open_;  // Questions of this instance.
  uint64_t last_number_ = 0;
};

}  // namespace bilberrypitch
