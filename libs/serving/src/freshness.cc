// Age of the configuration.
#include "serving/freshness.h"

namespace bilberrypitch {
namespace {

// From the check before a send to the beginning of the run at the upstream.
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
