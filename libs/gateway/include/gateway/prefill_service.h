// Requests permission to send a prompt to an engine from the engine's owner,
// and grants it where this instance is the owner. See serving/prefill_queue.h.
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

// Must be used on the event loop's thread only.
class PrefillService {
 public:
  struct Hooks {
    // Longest time allowed between two events of the streams on the engine;
    // zero: its service has no such target.
    std::function<Millis(const UpstreamId& engine)> max_event_gap;
    // A prompt of `machine` for the adapter `target` waits for the engine.
    std::function<void(const MachineId& machine, const UpstreamId& engine,
                       const ModelRef& target)>
        prompt_waiting;
  };

  PrefillService(EventLoop* loop, MachineId self, Ownership* ownership,
                 UpstreamRegistry* upstreams, PeerMessenger* peers,
                 Hooks hooks);
  ~PrefillService();

  // Sends a prefill request for a prompt of `tokens` tokens for `target`;
  // priority 0 is the highest. `on_granted` is called at most once, and not
  // before the return. Returns the request number, or 0 if the engine has no
  // owner.
  uint64_t RequestPrefill(const UpstreamId& engine, const ModelRef& target,
                          int64_t tokens, int priority,
                          std::function<void()> on_granted);
  // Sends the request again, so that it keeps its position in the queue and a
  // lost response is repeated.
  void RenewRequest(uint64_t request_number);
  // Whether the owner has responded since the request was last sent.
  bool OwnerResponded(uint64_t request_number) const;
  // The tokens of all prompts that wait for an engine that this instance owns.
  int64_t QueuedTokens(const UpstreamId& engine) const;
  // Ends a prefill request: the engine has processed the prompt (`prefilled`),
  // or the caller's request has ended or moved to another engine.
  void Release(uint64_t request_number, bool prefilled);

  // Messages from other instances.
  void OnRequest(const MachineId& from, const schema::ReadingQuestion& request);
  void OnResponse(const schema::ReadingAnswer& response);
  void OnRelease(const MachineId& from, const schema::ReadingDone& done);
  // The owner of the engine states the total of the prompts that wait there.
  void OnQueuedTokens(const UpstreamId& engine, int64_t tokens);
  void OnMachineRemoved(const MachineId& machine);
  // The engine has started or is unavailable: drops its queue.
  void OnEngineReset(const UpstreamId& engine);

 private:
  struct EngineQueue;
  struct PendingRequest {
    UpstreamId engine;
    MachineId owner;
    ModelRef target;
    int64_t tokens = 0;
    int priority = 0;
    bool owner_responded = false;
    std::function<void()> on_granted;  // Empty after the call.
  };

  void Send(uint64_t request_number, PendingRequest* pending);
  void Grant(uint64_t request_number);
  void Enqueue(const UpstreamId& engine, const ModelRef& target,
               const PrefillRequest& request);
  void ReleaseAsOwner(const UpstreamId& engine, const PrefillRequestId& id,
                      bool prefilled);
  EngineQueue* GetOrCreateQueue(const UpstreamId& engine);
  void ProcessQueue(const UpstreamId& engine);
  void Respond(const UpstreamId& engine, const PrefillRequestId& id,
               bool granted, int64_t queued_tokens);

  EventLoop* const loop_;
  const MachineId self_;
  Ownership* const ownership_;
  UpstreamRegistry* const upstreams_;
  PeerMessenger* const peers_;
  const Hooks hooks_;
  // Queues that this instance runs as the owner of the engines.
  std::map<UpstreamId, std::unique_ptr<EngineQueue>> queues_;
  // Requests of this instance, by request number.
  std::map<uint64_t, PendingRequest> pending_requests_;
  uint64_t last_request_number_ = 0;
};

}  // namespace bilberrypitch
