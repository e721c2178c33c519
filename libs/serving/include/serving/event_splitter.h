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
  // In a row. Line ends alone are no event, and each costs as much as one.
  static constexpr uint32_t kMaxEmptyEvents = 64;

  // Appends `bytes` and returns the events that are now complete, unchanged.
  // Empty ones are kept back until one with content follows.
  std::string Feed(std::string_view bytes);
  // The bytes are no stream of events: a limit above was exceeded. What follows
  // is discarded.
  bool malformed() const { return malformed_; }
  // Returns true if no incomplete event is buffered.
  bool AtBoundary() const {
    return pending_.size() == empty_event_bytes_ && !malformed_;
  }
  // Returns the empty events that were kept back, at the end of a whole stream.
  std::string TakeEmptyEvents();
  // Discards an incomplete event whose rest will never arrive.
  void DropPartial() {
    pending_.clear();
    empty_event_bytes_ = 0;
    empty_events_ = 0;
    malformed_ = false;
  }
  // Id of the last complete event that had one; empty if there was none.
  const std::string& last_id() const { return last_id_; }
  // Number of complete events so far.
  uint64_t events() const { return events_; }

 private:
  // Counts a complete event with content and stores its id.
  void RecordEvent(std::string_view event);

  std::string pending_;           // Empty events, then an incomplete event.
  size_t empty_event_bytes_ = 0;  // At the start of `pending_`.
  uint32_t empty_events_ = 0;     // Since the latest event with content.
  bool malformed_ = false;
  std::string last_id_;
  uint64_t events_ = 0;
};

}  // namespace bilberrypitch
