// Lengths of distrust.
#include "serving/connection_trust.h"

#include <algorithm>

namespace bilberrypitch {

void ConnectionTrust::OnSign(Millis now) {
  // Several connections may show the same fault at once, which is one sign.
  if (MayReuseConnections(now)) {
    distrust_ = distrust_ == Millis(0)
                    ? kFirstDistrust
                    : std::min(kLongestDistrust, distrust_ * 2);
  }
  distrusted_until_ = now + distrust_;
}

}  // namespace bilberrypitch
