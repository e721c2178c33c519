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

bool IsEmpty(std::string_view event) {
  return event.find_first_not_of("\r\n") == std::string_view::npos;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  if (malformed_) {
    return "";
  }
  // What was pending holds no boundary after the empty events, but one may have
  // begun at its end.
  size_t search_from =
      pending_.size() - std::min(pending_.size(), kMaxBoundaryBytes - 1);
  pending_.append(bytes);
  const std::string_view text = pending_;
  size_t forwarded = 0;
  size_t from = empty_event_bytes_;
  while (empty_events_ <= kMaxEmptyEvents) {
    size_t end = EndOfEvent(text, std::max(from, search_from));
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view event = text.substr(from, end - from);
    from = end;
    if (IsEmpty(event)) {
      ++empty_events_;
    } else {
      RecordEvent(event);
      forwarded = end;
    }
  }
  std::string complete = pending_.substr(0, forwarded);
  pending_.erase(0, forwarded);
  empty_event_bytes_ = from - forwarded;
  if (empty_events_ > kMaxEmptyEvents || pending_.size() > kMaxEventBytes) {
    DropPartial();
    malformed_ = true;
  }
  return complete;
}

std::string EventSplitter::TakeEmptyEvents() {
  std::string events = pending_.substr(0, empty_event_bytes_);
  pending_.erase(0, empty_event_bytes_);
  empty_event_bytes_ = 0;
  return events;
}

void EventSplitter::RecordEvent(std::string_view event) {
  ++events_;
  empty_events_ = 0;
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
