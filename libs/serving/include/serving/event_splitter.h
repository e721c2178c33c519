// Cuts a stream of server-sent events into whole events and follows their ids,
// so that only whole events are passed on and a stream can be resumed.
#pragma once

#include <string>
#include <string_view>

namespace bilberrypitch {

class EventSplitter {
 public:
  // Returns the bytes of the events that `bytes` completes, unchanged.
  std::string Feed(std::string_view bytes);
  // No part of an event is left over.
  bool AtBoundary() const { return pending_.empty(); }
  // Drops the part of an event that will not be completed.
  void DropPartial() { pending_.clear(); }
  // Of the last whole event that had one; empty: none yet.
  const std::string& last_id() const { return last_id_; }
  uint64_t events() const { return events_; }

 private:
  void NoteEvent(std::string_view event);

  std::string pending_;
  std::string last_id_;
  uint64_t events_ = 0;
};

}  // namespace bilberrypitch
