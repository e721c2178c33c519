// Whether connections to an upstream may be used again.
//
// What an upstream writes late, in response to an earlier request, can arrive
// only on a connection that it was asked on before. Much of it can be told from
// the response that was asked for, but not all. So after a sign that an
// upstream writes what nobody asked for, each request to it gets a new
// connection for some time. An upstream that shows such signs again and again
// is distrusted for longer each time.
//
// No I/O: time comes in as an argument.
#pragma once

#include "base/strong.h"

namespace bilberrypitch {

// Of one start of an upstream. Not thread-safe.
class ConnectionTrust {
 public:
  // For how long connections aren't used again after the first sign. Most
  // upstreams that respond twice do so again within seconds.
  static constexpr Millis kFirstDistrust{60 * 1000};
  static constexpr Millis kLongestDistrust{16 * 60 * 1000};

  // The upstream wrote what nobody had asked for, or what can't be told from
  // it.
  void OnSign(Millis now);
  bool MayReuseConnections(Millis now) const {
    return now >= distrusted_until_;
  }

 private:
  Millis distrust_;  // Length of the latest distrust; zero: there was none.
  Millis distrusted_until_;
};

}  // namespace bilberrypitch
