// Whether one start of an upstream takes new requests.
//
// It serves, then it leaves, then it is gone; it never goes back. What shows
// that it leaves is its entry in the store, any response of its own, or another
// instance that has seen one: the first of these counts.
#pragma once

#include <cstdint>

#include "base/strong.h"

namespace bilberrypitch {

class UpstreamMembership {
 public:
  enum class State : uint8_t { kServing, kLeaving, kGone };

  State state() const { return state_; }
  bool is_gone() const { return state_ == State::kGone; }
  // Its entry is missing, but may return.
  bool is_missing() const { return missing_until_ != Millis(0); }
  Millis missing_until() const { return missing_until_; }
  // Whether it takes new requests.
  bool IsServing(Millis now) const {
    return state_ == State::kServing && (!is_missing() || now < missing_until_);
  }

  // Returns whether it was serving before.
  bool OnLeaving();
  void OnEntryPresent() { missing_until_ = Millis(0); }
  // Its entry is missing, and may return until `return_deadline`. Returns
  // whether the upstream is gone by that.
  bool OnEntryMissing(Millis return_deadline, Millis now);
  // Whether an entry that is missing may return, and until when, has been found
  // out.
  void SetReturnDeadline(Millis return_deadline);
  // Returns whether the upstream is gone because its entry has not returned.
  bool Expire(Millis now);

 private:
  void OnGone();

  State state_ = State::kServing;
  Millis missing_until_;  // Zero: the entry is there, or gone for good.
};

}  // namespace bilberrypitch
