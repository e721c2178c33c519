// Splits a stream of server-sent events into whole events.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bilberrypitch {

class SseSplitter {
 public:
  // Calls `event` with the data of each event that `bytes` completes. Returns
  // false as soon as `event` does, or when one event exceeds the bound.
  bool Feed(std::string_view bytes,
            const std::function<bool(std::string_view)>& event);
  // True when no part of an event is left over.
  bool AtBoundary() const { return pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace bilberrypitch
