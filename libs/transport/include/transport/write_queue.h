// The bytes of a response that are yet to be written to a slow reader: at most
// one write is under way, and all that comes meanwhile is joined into the next
// one.
//
// The cost of a connection's writes may grow faster than their number, so the
// number of writes under way is bounded, whatever the size of each piece.
#pragma once

#include <cstddef>
#include <string>

namespace bilberrypitch {

class WriteQueue {
 public:
  // Returns the bytes to write now; empty while a write is under way.
  std::string Push(std::string bytes);
  // The write under way is complete. Returns the bytes to write next; empty if
  // there are none, so that no write is under way any more.
  std::string OnWritten();
  // Returns the bytes that wait, which the next write would contain.
  std::string TakeWaiting();
  // Bytes that were pushed and are not known to be written.
  size_t unwritten_bytes() const { return under_way_bytes_ + waiting_.size(); }

 private:
  size_t under_way_bytes_ = 0;  // 0: no write is under way.
  std::string waiting_;
};

}  // namespace bilberrypitch
