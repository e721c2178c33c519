// Moves an upstream from serving to leaving to gone.
#include "serving/upstream_membership.h"

namespace bilberrypitch {

bool UpstreamMembership::OnLeaving() {
  if (state_ != State::kServing) {
    return false;
  }
  state_ = State::kLeaving;
  return true;
}

bool UpstreamMembership::OnEntryMissing(Millis return_deadline, Millis now) {
  if (is_gone()) {
    return false;
  }
  if (return_deadline <= now || state_ == State::kLeaving) {
    OnGone();
    return true;
  }
  if (!is_missing()) {
    missing_until_ = return_deadline;
  }
  return false;
}

void UpstreamMembership::SetReturnDeadline(Millis return_deadline) {
  if (is_missing()) {
    missing_until_ = return_deadline;
  }
}

bool UpstreamMembership::Expire(Millis now) {
  if (!is_missing() || now < missing_until_) {
    return false;
  }
  OnGone();
  return true;
}

void UpstreamMembership::OnGone() {
  state_ = State::kGone;
  missing_until_ = Millis(0);
}

}  // namespace bilberrypitch
