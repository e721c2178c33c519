// Order and admission of prompts.
#include "serving/prefill_queue.h"

#include <algorithm>

#include "base/check.h"

namespace bilberrypitch {
namespace {

// Of the longest pause; the rest is for the tokens themselves.
constexpr double kReadingPart = 0.85;
// Who still waits asks again more often than this.
constexpr Millis kAskLife{800};
// The word that a prompt was read may be lost.
constexpr Millis kLongestReading{2500};
// Weight of one more observation, and the least work that tells something: the
// time for less is that of the engine's step.
constexpr double kSmoothing = 0.08;
constexpr int64_t kLeastWork = 800;
constexpr double kLeastMsPerToken = 0.005;
constexpr double kMostMsPerToken = 1;

}  // namespace

void PrefillQueue::OnRequest(const PrefillRequest& ask, Millis now) {
  if (granted_.count(ask.ticket) > 0) {
    granted_again_.push_back(ask.ticket);
    return;
  }
  auto same = [&](const Waiting& it) { return it.ask.ticket == ask.ticket; };
  auto known = std::find_if(waiting_.begin(), waiting_.end(), same);
  if (known != waiting_.end()) {
    known->asked = now;
    return;
  }
  auto place = std::upper_bound(
      waiting_.begin(), waiting_.end(), ask.priority,
      [](int urgency, const Waiting& it) { return urgency < it.ask.priority; });
  waiting_.insert(place, {ask, now, now});
}

void PrefillQueue::OnRelease(const PrefillRequestId& ticket, bool read,
                             Millis now) {
  std::erase_if(waiting_,
                [&](const Waiting& it) { return it.ask.ticket == ticket; });
  auto it = granted_.find(ticket);
  if (it == granted_.end()) {
    return;
  }
  if (read && it->second.work >= kLeastWork) {
    double seen = static_cast<double>((now - it->second.at).count()) /
                  static_cast<double>(it->second.work);
    seen = std::clamp(seen, kLeastMsPerToken, kMostMsPerToken);
    ms_per_token_ += kSmoothing * (seen - ms_per_token_);
  }
  Release(it);
}

std::map<PrefillRequestId, PrefillQueue::Granted>::iterator
PrefillQueue::Release(std::map<PrefillRequestId, Granted>::iterator it) {
  reading_tokens_ -= it->second.tokens;
  BP_CHECK(reading_tokens_ >= 0, "what is read was granted");
  return granted_.erase(it);
}

void PrefillQueue::OnMachineRemoved(const MachineId& machine) {
  std::erase_if(waiting_, [&](const Waiting& it) {
    return it.ask.ticket.machine == machine;
  });
  for (auto it = granted_.begin(); it != granted_.end();) {
    it = it->first.machine == machine ? Release(it) : std::next(it);
  }
}

void PrefillQueue::DropOld(Millis now) {
  std::erase_if(waiting_,
                [&](const Waiting& it) { return now - it.asked >= kAskLife; });
  for (auto it = granted_.begin(); it != granted_.end();) {
    bool old = now - it->second.at >= kLongestReading;
    it = old ? Release(it) : std::next(it);
  }
}

bool PrefillQueue::Fits(int64_t tokens) const {
  if (longest_pause_ == Millis(0) || reading_tokens_ == 0) {
    return true;
  }
  auto sum = static_cast<double>(reading_tokens_ + tokens);
  auto bound = kReadingPart * static_cast<double>(longest_pause_.count());
  return ms_per_token_ * sum <= bound;
}

std::vector<PrefillRequestId> PrefillQueue::TakeGrants(Millis now) {
  DropOld(now);
  std::vector<PrefillRequestId> grants = std::move(granted_again_);
  granted_again_.clear();
  // The first one that does not fit holds back those behind it: a large prompt
  // would wait for ever behind small ones.
  while (!waiting_.empty() && Fits(waiting_.front().ask.tokens)) {
    const PrefillRequest& ask = waiting_.front().ask;
    reading_tokens_ += ask.tokens;
    granted_[ask.ticket] = {ask.tokens, reading_tokens_, now};
    grants.push_back(ask.ticket);
    waiting_.erase(waiting_.begin());
  }
  return grants;
}

Millis PrefillQueue::NextWakeup(Millis now) const {
  Millis due;
  auto consider = [&](Millis at) {
    due = due == Millis(0) ? at : std::min(due, at);
  };
  for (const Waiting& it : waiting_) {
    consider(it.asked + kAskLife);
  }
  if (!waiting_.empty()) {
    for (const auto& [ticket, it] : granted_) {
      consider(it.at + kLongestReading);
    }
  }
  return due == Millis(0) ? due : std::max(due, now + Millis(1));
}

bool PrefillQueue::IsWaiting(const PrefillRequestId& ticket) const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [&](const auto& it) { return it.ask.ticket == ticket; });
}

int64_t PrefillQueue::waiting_tokens() const {
  int64_t sum = 0;
  for (const Waiting& it : waiting_) {
    sum += it.ask.tokens;
  }
  return sum;
}

}  // namespace bilberrypitch
