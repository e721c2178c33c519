// Implements the check that the configuration is fresh enough to serve.
#include "serving/freshness.h"

namespace bilberrypitch {
namespace {

// Time allowed from the check before an attempt until the upstream starts to
// run the request.
constexpr Millis kSendMargin{400};
// The operator has written again by then what the copy lacks.
constexpr Millis kRewriteTime{5000};

}  // namespace

void Freshness::OnConfirmed(Millis at) {
  if (!confirmed_ || at > confirmed_at_) {
    confirmed_at_ = at;
  }
  confirmed_ = true;
}

bool Freshness::MayServe(Millis now) const {
  if (!confirmed_) {
    return false;
  }
  return bound_ == Millis(0) || Age(now) < bound_ - kSendMargin;
}

void Freshness::OnStartedFromCopy(int64_t version, Millis now) {
  version_of_copy_ = version;
  started_from_copy_at_ = now;
}

bool Freshness::MayRefuse(int64_t version, Millis now) const {
  bool is_doubted = version_of_copy_ != 0 && version == version_of_copy_ &&
                    now - started_from_copy_at_ < kRewriteTime;
  if (!confirmed_ || is_doubted) {
    return false;
  }
  return refusal_bound_ == Millis(0) || Age(now) <= refusal_bound_;
}

}  // namespace bilberrypitch
