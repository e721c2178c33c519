// Splits a byte stream of server-sent events at event boundaries and tracks the
// event ids, so that only complete events are forwarded to the caller and a
// broken stream can be resumed after the last one.
//
// The ids of a series of events are numbers that increase. Upstreams number
// events without a gap, and give each one id and one data line. On a connection
// that earlier calls used, an event that doesn't follow this may be a piece of
// another response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrypitch {

// Which events a stream may consist of.
enum class EventRule : uint8_t {
  kIncreasing,  // Each with a greater id than the one before.
  kSuccessors,  // Each with the next id, and of the usual fields only.
};

class EventSplitter {
 public:
  // A stream without an event boundary would otherwise fill the memory.
  static constexpr size_t kMaxEventBytes = 256 << 10;
  // In a row. Line ends alone are no event, and each costs as much as one.
  static constexpr uint32_t kMaxEmptyEvents = 64;

  // The rule for what follows; kIncreasing at first.
  void set_rule(EventRule rule) { rule_ = rule; }
  // The next event follows the one with this id, which the caller has. Without
  // effect if it is no number.
  void StartAfter(std::string_view id);
  // Appends `bytes` and returns the events that are now complete, unchanged.
  // Empty ones are kept back until one with content follows. Returns none of
  // `bytes` if an event among them breaks the rule.
  std::string Feed(std::string_view bytes);
  // The bytes are no stream of events: a limit above was exceeded, or an event
  // broke the rule. What follows is discarded.
  bool malformed() const { return malformed_; }
  // An event would have broken kSuccessors, whatever rule applies.
  bool irregular() const { return irregular_; }
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
    irregular_ = false;
  }
  // What is kept until an event is complete takes so many bytes.
  size_t bytes_kept() const { return pending_.capacity(); }
  // Id of the last complete event that had one; empty if there was none.
  const std::string& last_id() const { return last_id_; }
  // Number of complete events so far.
  uint64_t events() const { return events_; }

 private:
  // Counts a complete event with content and stores its id. Returns false if
  // it breaks the rule.
  bool RecordEvent(std::string_view event);

  std::string pending_;           // Empty events, then an incomplete event.
  size_t empty_event_bytes_ = 0;  // At the start of `pending_`.
  uint32_t empty_events_ = 0;     // Since the latest event with content.
  bool malformed_ = false;
  bool irregular_ = false;
  EventRule rule_ = EventRule::kIncreasing;
  std::string last_id_;
  uint64_t last_number_ = 0;  // 0: the first event is the next.
  uint64_t events_ = 0;
};

}  // namespace bilberrypitch
