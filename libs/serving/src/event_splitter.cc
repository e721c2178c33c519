// Whole events of a stream.
#include "serving/event_splitter.h"

namespace bilberrypitch {
namespace {

// Position after the empty line that ends the first event; npos: none.
size_t EndOfEvent(std::string_view text, size_t from) {
  size_t plain = text.find("\n\n", from);
  size_t carriage = text.find("\r\n\r\n", from);
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (carriage == std::string_view::npos || plain < carriage) {
    return plain + 2;
  }
  return carriage + 4;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  pending_.append(bytes);
  const std::string_view text = pending_;
  size_t from = 0;
  while (true) {
    size_t end = EndOfEvent(text, from);
    if (end == std::string_view::npos) {
      break;
    }
    NoteEvent(text.substr(from, end - from));
    from = end;
  }
  std::string whole = pending_.substr(0, from);
  pending_.erase(0, from);
  return whole;
}

void EventSplitter::NoteEvent(std::string_view event) {
  ++events_;
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
