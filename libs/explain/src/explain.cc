// Implements the timeline of a request by parsing log lines.
#include "explain/explain.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <set>
#include <sstream>

namespace bilberrypitch {
namespace {

// Lines that explain a request may be logged up to this long before its start
// and after its end.
constexpr int64_t kContextBeforeMs = 2000;
constexpr int64_t kContextAfterMs = 2000;

// Names of the values of `end=` and `next=`, indexed by the logged number.
constexpr std::array<std::string_view, 7> kEndNames = {
    "not_sent", "refused_unrun", "upstream_failed", "wrong_answer",
    "broken",   "silent",        "time_over"};
constexpr std::array<std::string_view, 4> kNextStepNames = {
    "sent_again", "resumed", "passed_on", "failed"};
// Components whose lines may explain a request without containing its id.
constexpr std::array<std::string_view, 6> kContextComponents = {
    "config:", "store:", "lease:", "peer:", "gateway:", "version:"};

struct Line {
  int64_t at_ms = 0;           // Milliseconds since the Unix epoch.
  std::string display;         // The line with the name of its log.
  std::string_view text;       // Refers to the log.
  std::string_view component;  // With the trailing colon. Refers to the log.
};

// Converts a time such as "2026-12-04T07:17:28.123Z" to milliseconds since the
// Unix epoch. Returns nothing when `text` is not a time.
std::optional<int64_t> ParseTime(const std::string& text) {
  std::istringstream stream(text);
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  double second = 0;
  char dash = 0;
  char colon = 0;
  char separator = 0;
  stream >> year >> dash >> month >> dash >> day >> separator >> hour >>
      colon >> minute >> colon >> second;
  if (!stream) {
    return std::nullopt;
  }
  auto date = std::chrono::year_month_day{std::chrono::year{year},
                                          std::chrono::month{month},
                                          std::chrono::day{day}};
  if (!date.ok()) {
    return std::nullopt;
  }
  int64_t days = std::chrono::sys_days{date}.time_since_epoch().count();
  constexpr double kMsPerSecond = 1000;
  return ((days * 24 + hour) * 60 + minute) * 60 * 1000 +
         static_cast<int64_t>(second * kMsPerSecond);
}

std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

// Parses a log line: time, level, component and sentence, separated by spaces.
// Returns nothing when `text` is not a log line.
std::optional<Line> ParseLine(const NamedLog& log, std::string_view text) {
  size_t level_space = text.find(' ');
  if (level_space == std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<int64_t> at_ms =
      ParseTime(std::string(text.substr(0, level_space)));
  size_t component_space = text.find(' ', level_space + 1);
  if (!at_ms || component_space == std::string_view::npos) {
    return std::nullopt;
  }
  Line line;
  line.at_ms = *at_ms;
  line.text = text;
  line.component =
      text.substr(component_space + 1,
                  text.find(' ', component_space + 1) - component_space - 1);
  line.display = fmt::format("{} {}", log.name, text);
  return line;
}

// Returns the value of `name=` in a line; empty when there is none.
std::string_view FindValue(std::string_view line, std::string_view name) {
  std::string key = fmt::format(" {}=", name);
  size_t position = line.find(key);
  if (position == std::string_view::npos) {
    return {};
  }
  std::string_view value = line.substr(position + key.size());
  value = value.substr(0, value.find(' '));
  while (!value.empty() && value.back() == '.') {
    value.remove_suffix(1);
  }
  return value;
}

// Replaces the number after `name=` by the name at that index. Leaves other
// values unchanged.
template <size_t N>
void ReplaceNumber(std::string* line, std::string_view name,
                   const std::array<std::string_view, N>& names) {
  std::string_view value = FindValue(*line, name);
  size_t number = 0;
  auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), number);
  if (value.empty() || parsed.ec != std::errc() || number >= N) {
    return;
  }
  size_t position = static_cast<size_t>(value.data() - line->data());
  line->replace(position, value.size(), names[number]);
}

// Returns whether a line that is not about the request may explain it.
bool IsContext(const Line& line, const std::set<std::string>& upstreams) {
  bool is_context_component =
      std::find(kContextComponents.begin(), kContextComponents.end(),
                line.component) != kContextComponents.end();
  if (is_context_component) {
    return true;
  }
  std::string_view id = line.component == "upstream:"
                            ? FindValue(line.text, "id")
                            : FindValue(line.text, "upstream");
  return line.component != "request:" && upstreams.count(std::string(id)) > 0;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NamedLog>& logs) {
  std::vector<Line> timeline;  // At first only the lines of the request.
  std::vector<Line> others;
  std::set<std::string> upstreams;
  for (const NamedLog& log : logs) {
    for (std::string_view text : SplitLines(log.text)) {
      std::optional<Line> line = ParseLine(log, text);
      if (!line) {
        continue;
      }
      if (FindValue(text, "id") == request_id &&
          line->component == "request:") {
        upstreams.emplace(FindValue(text, "upstream"));
        timeline.push_back(std::move(*line));
      } else {
        others.push_back(std::move(*line));
      }
    }
  }
  if (timeline.empty() || request_id.empty()) {
    return {};
  }
  auto by_time = [](const Line& a, const Line& b) { return a.at_ms < b.at_ms; };
  std::stable_sort(timeline.begin(), timeline.end(), by_time);
  int64_t duration_ms = 0;
  std::string_view duration = FindValue(timeline.back().text, "ms");
  std::from_chars(duration.data(), duration.data() + duration.size(),
                  duration_ms);
  int64_t start_ms =
      std::min(timeline.front().at_ms, timeline.back().at_ms - duration_ms);
  for (const Line& line : others) {
    bool in_window = line.at_ms >= start_ms - kContextBeforeMs &&
                     line.at_ms <= timeline.back().at_ms + kContextAfterMs;
    if (in_window && IsContext(line, upstreams)) {
      timeline.push_back(line);
    }
  }
  std::stable_sort(timeline.begin(), timeline.end(), by_time);
  std::vector<std::string> displayed;
  for (Line& line : timeline) {
    ReplaceNumber(&line.display, "end", kEndNames);
    ReplaceNumber(&line.display, "next", kNextStepNames);
    displayed.push_back(std::move(line.display));
  }
  return displayed;
}

}  // namespace bilberrypitch
