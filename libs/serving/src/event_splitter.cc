// Finds event boundaries and event ids in a stream of server-sent events.
#include "serving/event_splitter.h"

#include <algorithm>

namespace bilberrypitch {
namespace {

// An event ends with at most this many bytes: two line ends.
constexpr size_t kMaxBoundaryBytes = 4;

// Returns the position after the empty line that ends the first event at or
// after `from`; npos if that event is incomplete. Lines end with LF or CRLF.
size_t EndOfEvent(std::string_view text, size_t from) {
  size_t lf = text.find("\n\n", from);
  size_t crlf = text.find("\r\n\r\n", from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (crlf == std::string_view::npos || lf < crlf) {
    return lf + 2;
  }
  return crlf + 4;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  if (malformed_) {
    return "";
  }
  // What was pending holds no boundary, but one may have begun at its end.
  size_t search_from =
      pending_.size() - std::min(pending_.size(), kMaxBoundaryBytes - 1);
  pending_.append(bytes);
  const std::string_view text = pending_;
  size_t from = 0;
  while (true) {
    size_t end = EndOfEvent(text, std::max(from, search_from));
    if (end == std::string_view::npos) {
      break;
    }
    RecordEvent(text.substr(from, end - from));
    from = end;
    if (empty_events_ > kMaxEmptyEvents) {
      malformed_ = true;
      break;
    }
  }
  std::string complete = pending_.substr(0, from);
  pending_.erase(0, from);
  malformed_ = malformed_ || pending_.size() > kMaxEventBytes;
  if (malformed_) {
    pending_.clear();
  }
  return complete;
}

void EventSplitter::RecordEvent(std::string_view event) {
  ++events_;
  bool empty = event.find_first_not_of("\r\n") == std::string_view::npos;
  empty_events_ = empty ? empty_events_ + 1 : 0;
  size_t at = event.rfind("id:", 0) == 0 ? 0 : event.find("\nid:");
  if (at == std::string_view::npos) {
    return;
  }
  at = event.find(':', at) + 1;
  size_t end = event.find_first_of("\r\n", at);
  std::string_view id = event.substr(at, end - at);
  if (!id.empty() && id.front() == ' ') {
    id.remove_prefix(1);
  }
  last_id_ = std::string(id);
}

}  // namespace bilberrypitch
