// Opens a connection and closes it again, to see whether there is a path.
#pragma once

#include <functional>
#include <string>

#include "base/strong.h"

namespace bilberrypitch {

class EventLoop;

// Calls `done` once, on the loop's thread and not before the return: true if
// `address` (IP:port) has accepted a connection within `timeout`.
void ProbeTcp(EventLoop* loop, const std::string& address, Millis timeout,
              std::function<void(bool)> done);

}  // namespace bilberrypitch
