// Implements the check that the configuration is fresh enough to serve.
#include "serving/freshness.h"

namespace bilberrypitch {
namespace {

// Time allowed from the check before an attempt until the upstream starts to
// run the request.
constexpr Millis kSendMargin{400};

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

}  // namespace bilberrypitch
