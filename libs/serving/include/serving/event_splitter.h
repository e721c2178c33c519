// Splits a byte stream of server-sent events at event boundaries and tracks the
// event ids, so that only complete events are forwarded to the caller and a
// broken stream can be resumed after the last one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

class EventSplitter {
 public:
  // A stream without an event boundary would otherwise fill the memory.
  static constexpr size_t kMaxEventBytes = 256 << 10;

  // Appends `bytes` and returns the events that are now complete, unchanged.
  std::string Feed(std::string_view bytes);
  // An event exceeded `kMaxEventBytes`; its bytes are discarded.
  bool event_too_large() const { return event_too_large_; }
  // Returns true if no incomplete event is buffered.
  bool AtBoundary() const { return pending_.empty() && !event_too_large_; }
  // Discards an incomplete event whose rest will never arrive.
  void DropPartial() {
    pending_.clear();
    event_too_large_ = false;
  }
  // Id of the last complete event that had one; empty if there was none.
  const std::string& last_id() const { return last_id_; }
  // Number of complete events so far.
  uint64_t events() const { return events_; }

 private:
  // Counts a complete event and stores its id.
  void RecordEvent(std::string_view event);

  std::string pending_;  // Start of an incomplete event.
  bool event_too_large_ = false;
  std::string last_id_;
  uint64_t events_ = 0;
};

}  // namespace bilberrypitch
