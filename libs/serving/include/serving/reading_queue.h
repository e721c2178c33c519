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
struct ReadingTicket {
  MachineId machine;
  uint64_t number = 0;
  auto operator<=>(const ReadingTicket&) const = default;
};

struct ReadingAsk {
  ReadingTicket ticket;
  int64_t tokens = 0;  // Of the prompt.
  int urgency = 0;     // 0 is the most urgent.
};

class ReadingQueue {
 public:
  // Zero: no pause is stated, and nothing waits.
  void SetLongestPause(Millis pause) { longest_pause_ = pause; }
  // Asked again, a ticket keeps its place; one that was granted is granted
  // again.
  void OnAsk(const ReadingAsk& ask, Millis now);
  // The prompt was read (`read`), or its request has ended or went elsewhere.
  void OnDone(const ReadingTicket& ticket, bool read, Millis now);
  void OnMachineGone(const MachineId& machine);

  // Tickets whose prompts may go to the engine now.
  std::vector<ReadingTicket> Next(Millis now);
  // When Next should be called again; zero: not before the next event.
  Millis NextDue(Millis now) const;

  bool Waits(const ReadingTicket& ticket) const;
  int64_t waiting_tokens() const;
  int64_t reading_tokens() const { return reading_tokens_; }
  double ms_per_token() const { return ms_per_token_; }
  bool empty() const { return waiting_.empty() && granted_.empty(); }

 private:
  struct Waiting {
    ReadingAsk ask;
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
  std::map<ReadingTicket, Granted>::iterator Release(
      std::map<ReadingTicket, Granted>::iterator it);

  Millis longest_pause_;
  std::vector<Waiting> waiting_;  // Most urgent first, then by `since`.
  std::map<ReadingTicket, Granted> granted_;
  std::vector<ReadingTicket> granted_again_;
  int64_t reading_tokens_ = 0;  // Sum over `granted_`.
  double ms_per_token_ = 0.06;
};

}  // namespace bilberrypitch
