// Finds event boundaries and event ids in a stream of server-sent events.
#include "serving/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

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

// The fields of an event that every client knows.
constexpr std::array<std::string_view, 4> kKnownFields = {"id", "data", "event",
                                                          "retry"};
constexpr std::string_view kIdField = "id";

// Returns std::nullopt unless all of `text` is a positive number.
std::optional<uint64_t> ParseId(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  auto [parsed_to, ec] = std::from_chars(text.data(), end, value);
  bool valid = !text.empty() && ec == std::errc() && parsed_to == end;
  return valid && value > 0 ? std::optional(value) : std::nullopt;
}

// What the lines of an event say about it.
struct EventFields {
  uint32_t id_lines = 0;
  std::string_view id;  // Of the last id line.
  // Each known field at most once; another one only as the first line, and with
  // a number.
  bool usual = true;
};

std::string_view ValueOf(std::string_view line, size_t colon) {
  std::string_view value = line.substr(colon + 1);
  return value.starts_with(' ') ? value.substr(1) : value;
}

EventFields ReadFields(std::string_view event) {
  EventFields fields;
  std::array<uint32_t, kKnownFields.size()> counts{};
  bool first_line = true;
  while (!event.empty()) {
    size_t end = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty() && event.empty()) {
      break;  // The end of the event.
    }
    size_t colon = std::min(line.find(':'), line.size());
    std::string_view name = line.substr(0, colon);
    const auto* known =
        std::find(kKnownFields.begin(), kKnownFields.end(), name);
    if (known != kKnownFields.end()) {
      ++counts[known - kKnownFields.begin()];
    } else {
      bool allowed = first_line && colon < line.size() &&
                     ParseId(ValueOf(line, colon)).has_value();
      fields.usual = fields.usual && allowed;
    }
    if (name == kIdField && colon < line.size()) {
      ++fields.id_lines;
      fields.id = ValueOf(line, colon);
    }
    first_line = false;
  }
  fields.usual = fields.usual && std::all_of(counts.begin(), counts.end(),
                                             [](uint32_t n) { return n <= 1; });
  return fields;
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
  const std::string last_id = last_id_;
  const uint64_t last_number = last_number_;
  size_t forwarded = 0;
  size_t from = empty_event_bytes_;
  while (empty_events_ <= kMaxEmptyEvents) {
    size_t end = EndOfEvent(text, std::max(from, search_from));
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view event = text.substr(from, end - from);
    from = end;
    if (IsEmpty(event) && rule_ == EventRule::kIncreasing) {
      ++empty_events_;
      irregular_ = true;
    } else if (!IsEmpty(event) && RecordEvent(event)) {
      forwarded = end;
    } else {
      // What arrived with it may be a piece of the same other response.
      last_id_ = last_id;
      last_number_ = last_number;
      DropPartial();
      malformed_ = true;
      return "";
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

void EventSplitter::StartAfter(std::string_view id) {
  if (std::optional<uint64_t> number = ParseId(id)) {
    last_id_ = std::string(id);
    last_number_ = *number;
  }
}

bool EventSplitter::RecordEvent(std::string_view event) {
  ++events_;
  empty_events_ = 0;
  EventFields fields = ReadFields(event);
  std::optional<uint64_t> number = ParseId(fields.id);
  if (fields.id_lines != 1 || !number || *number <= last_number_) {
    return false;
  }
  irregular_ = irregular_ || !fields.usual || *number != last_number_ + 1;
  if (irregular_ && rule_ == EventRule::kSuccessors) {
    return false;
  }
  last_number_ = *number;
  last_id_ = std::string(fields.id);
  return true;
}

}  // namespace bilberrypitch
