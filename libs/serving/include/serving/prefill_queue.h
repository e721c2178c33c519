// Admission queue for the prompts that wait for prefill at one engine, run by
// the machine that owns the engine.
//
// An engine interleaves prefill with the decoding of its running streams, so
// every additional prompt lengthens the gaps between the events of those
// streams. The owner therefore admits only as many prompts at once as the
// engine can prefill within the smallest event gap target of the routes, but at
// least one. The others wait in the queue by priority, then by age. The prefill
// speed is estimated from the prompts that were completed.
//
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// Identifies a request: the requesting machine, and a number that it assigned.
struct PrefillRequestId {
  MachineId machine;
  uint64_t number = 0;
  auto operator<=>(const PrefillRequestId&) const = default;
};

struct PrefillRequest {
  PrefillRequestId id;
  int64_t tokens = 0;  // Of the prompt; counts up to kMaxStatedTokens.
  int priority = 0;    // 0 is the highest.
};

// Not thread-safe.
class PrefillQueue {
 public:
  // Zero: no target is stated, and every prompt is admitted at once.
  void SetMaxEventGap(Millis max_event_gap) { max_event_gap_ = max_event_gap; }
  // A request arrives or is renewed. A renewed request keeps its position; if
  // it was granted already, the grant is returned again because it may have
  // been lost.
  void OnRequest(const PrefillRequest& request, Millis now);
  // The prefill is complete (`prefilled`), or the request has ended or moved to
  // another engine.
  void OnRelease(const PrefillRequestId& id, bool prefilled, Millis now);
  void OnMachineRemoved(const MachineId& machine);

  // Returns the requests whose prompts may be sent to the engine now.
  std::vector<PrefillRequestId> TakeGrants(Millis now);
  // Returns when TakeGrants has to be called again; zero: not before the next
  // event.
  Millis NextWakeup(Millis now) const;

  bool IsWaiting(const PrefillRequestId& id) const;
  // Prompt tokens that wait in the queue.
  int64_t queued_tokens() const;
  // Prompt tokens that were granted and not released yet.
  int64_t granted_tokens() const { return granted_tokens_; }
  // Estimated prefill time per token.
  double ms_per_token() const { return ms_per_token_; }
  bool empty() const { return waiting_.empty() && granted_.empty(); }

 private:
  struct Waiting {
    PrefillRequest request;
    Millis since;
    Millis renewed_at;  // A request that is not renewed is dropped.
  };
  struct Granted {
    int64_t tokens = 0;
    // Tokens that the engine had to prefill up to the end of this prompt when
    // it was granted.
    int64_t tokens_until_done = 0;
    Millis granted_at;
  };

  // Drops requests that were not renewed and grants that were not released.
  void DropExpired(Millis now);
  // Whether a prompt of this size can be admitted now.
  bool Fits(int64_t tokens) const;
  std::map<PrefillRequestId, Granted>::iterator Release(
      std::map<PrefillRequestId, Granted>::iterator grant);

  Millis max_event_gap_;
  std::vector<Waiting> waiting_;  // By priority, then by age.
  std::map<PrefillRequestId, Granted> granted_;
  std::vector<PrefillRequestId> repeated_grants_;
  int64_t granted_tokens_ = 0;  // Sum over `granted_`.
  double ms_per_token_ = 0.06;  // Initial estimate.
};

}  // namespace bilberrypitch
