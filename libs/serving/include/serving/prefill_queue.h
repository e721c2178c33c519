// The prompts that wait for one engine, kept by the engine's owner.
//
// An engine reads prompts between the tokens of the streams that run there, so
// more prompts at once make the pauses of these streams longer. The owner lets
// as many prompts go to the engine as it reads within the longest pause that
// the routes state; the others wait here, the most urgent and then the oldest
// first. How fast the engine reads is learnt from the prompts that were read.
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "serving/ids.h"

namespace bilberrypitch {

// One request's place: the instance that asks, and its number there.
struct PrefillRequestId {
  MachineId machine;
  uint64_t number = 0;
  auto operator<=>(const PrefillRequestId&) const = default;
};

struct PrefillRequest {
  PrefillRequestId ticket;
  int64_t tokens = 0;  // Of the prompt.
  int priority = 0;    // 0 is the most urgent.
};

class PrefillQueue {
 public:
  // Zero: no pause is stated, and nothing waits.
  void SetMaxEventGap(Millis pause) { longest_pause_ = pause; }
  // Asked again, a ticket keeps its place; one that was granted is granted
  // again.
  void OnRequest(const PrefillRequest& ask, Millis now);
  // The prompt was read (`read`), or its request has ended or went elsewhere.
  void OnRelease(const PrefillRequestId& ticket, bool read, Millis now);
  void OnMachineRemoved(const MachineId& machine);

  // Tickets whose prompts may go to the engine now.
  std::vector<PrefillRequestId> TakeGrants(Millis now);
  // When TakeGrants should be called again; zero: not before the next event.
  Millis NextWakeup(Millis now) const;

  bool IsWaiting(const PrefillRequestId& ticket) const;
  int64_t waiting_tokens() const;
  int64_t granted_tokens() const { return reading_tokens_; }
  double ms_per_token() const { return ms_per_token_; }
  bool empty() const { return waiting_.empty() && granted_.empty(); }

 private:
  struct Waiting {
    PrefillRequest ask;
    Millis since;
    Millis asked;  // Last time; one that is not asked for again is dropped.
  };
  struct Granted {
    int64_t tokens = 0;
    int64_t work = 0;  // Tokens to read up to the end of this prompt.
    Millis at;
  };

  void DropOld(Millis now);
  bool Fits(int64_t tokens) const;
  std::map<PrefillRequestId, Granted>::iterator Release(
      std::map<PrefillRequestId, Granted>::iterator it);

  Millis longest_pause_;
  std::vector<Waiting> waiting_;  // Most urgent first, then by `since`.
  std::map<PrefillRequestId, Granted> granted_;
  std::vector<PrefillRequestId> granted_again_;
  int64_t reading_tokens_ = 0;  // Sum over `granted_`.
  double ms_per_token_ = 0.06;
};

}  // namespace bilberrypitch
