// Joins the pieces of a response into one write at a time.
#include "transport/write_queue.h"

#include <utility>

namespace bilberrypitch {

std::string WriteQueue::Push(std::string bytes) {
  if (under_way_bytes_ > 0) {
    waiting_ += bytes;
    return "";
  }
  under_way_bytes_ = bytes.size();
  return bytes;
}

std::string WriteQueue::OnWritten() {
  under_way_bytes_ = waiting_.size();
  return TakeWaiting();
}

std::string WriteQueue::TakeWaiting() { return std::exchange(waiting_, {}); }

}  // namespace bilberrypitch
