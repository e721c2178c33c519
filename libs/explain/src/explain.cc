// Reads log lines.
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

// What concerns a request may be logged so long before it and after it.
constexpr int64_t kBeforeMs = 2000;
constexpr int64_t kAfterMs = 2000;

// In the order of the numbers in the log.
constexpr std::array<std::string_view, 7> kEnds = {
    "not_sent", "refused_unrun", "upstream_failed", "wrong_answer",
    "broken",   "silent",        "time_over"};
constexpr std::array<std::string_view, 4> kNextSteps = {"sent_again", "resumed",
                                                        "passed_on", "failed"};
// Parts whose lines may explain a request without naming it.
constexpr std::array<std::string_view, 6> kContextParts = {
    "config:", "store:", "lease:", "peer:", "gateway:", "version:"};

struct Line {
  int64_t at_ms = 0;
  std::string shown;
  std::string_view text;  // Within the log.
  std::string_view part;  // With its colon.
};

// "2026-12-04T07:17:28.123Z" in milliseconds; none when it is not a time.
std::optional<int64_t> TimeOf(const std::string& text) {
  std::istringstream in(text);
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  double second = 0;
  char dash = 0;
  char colon = 0;
  char letter = 0;
  in >> year >> dash >> month >> dash >> day >> letter >> hour >> colon >>
      minute >> colon >> second;
  if (!in) {
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

// Time, level, part, sentence.
std::optional<Line> ParseLine(const NamedLog& log, std::string_view text) {
  size_t level = text.find(' ');
  if (level == std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<int64_t> at = TimeOf(std::string(text.substr(0, level)));
  size_t part = text.find(' ', level + 1);
  if (!at || part == std::string_view::npos) {
    return std::nullopt;
  }
  Line line;
  line.at_ms = *at;
  line.text = text;
  line.part = text.substr(part + 1, text.find(' ', part + 1) - part - 1);
  line.shown = fmt::format("{} {}", log.name, text);
  return line;
}

// The value of `name` in a line; empty: it has none.
std::string_view ValueOf(std::string_view line, std::string_view name) {
  std::string needle = fmt::format(" {}=", name);
  size_t at = line.find(needle);
  if (at == std::string_view::npos) {
    return {};
  }
  std::string_view value = line.substr(at + needle.size());
  value = value.substr(0, value.find(' '));
  while (!value.empty() && value.back() == '.') {
    value.remove_suffix(1);
  }
  return value;
}

template <size_t N>
void NameNumber(std::string* line, std::string_view name,
                const std::array<std::string_view, N>& words) {
  std::string_view value = ValueOf(*line, name);
  size_t number = 0;
  auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), number);
  if (value.empty() || parsed.ec != std::errc() || number >= N) {
    return;
  }
  size_t at = static_cast<size_t>(value.data() - line->data());
  line->replace(at, value.size(), words[number]);
}

bool IsContext(const Line& line, const std::set<std::string>& upstreams) {
  bool part = std::find(kContextParts.begin(), kContextParts.end(),
                        line.part) != kContextParts.end();
  if (part) {
    return true;
  }
  std::string_view id = line.part == "upstream:"
                            ? ValueOf(line.text, "id")
                            : ValueOf(line.text, "upstream");
  return line.part != "request:" && upstreams.count(std::string(id)) > 0;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NamedLog>& logs) {
  std::vector<Line> own;
  std::vector<Line> others;
  std::set<std::string> upstreams;
  for (const NamedLog& log : logs) {
    for (std::string_view text : SplitLines(log.text)) {
      std::optional<Line> line = ParseLine(log, text);
      if (!line) {
        continue;
      }
      if (ValueOf(text, "id") == request_id && line->part == "request:") {
        upstreams.emplace(ValueOf(text, "upstream"));
        own.push_back(std::move(*line));
      } else {
        others.push_back(std::move(*line));
      }
    }
  }
  if (own.empty() || request_id.empty()) {
    return {};
  }
  auto by_time = [](const Line& a, const Line& b) { return a.at_ms < b.at_ms; };
  std::stable_sort(own.begin(), own.end(), by_time);
  int64_t open_ms = 0;
  std::string_view ms = ValueOf(own.back().text, "ms");
  std::from_chars(ms.data(), ms.data() + ms.size(), open_ms);
  int64_t from = std::min(own.front().at_ms, own.back().at_ms - open_ms);
  for (const Line& line : others) {
    bool near = line.at_ms >= from - kBeforeMs &&
                line.at_ms <= own.back().at_ms + kAfterMs;
    if (near && IsContext(line, upstreams)) {
      own.push_back(line);
    }
  }
  std::stable_sort(own.begin(), own.end(), by_time);
  std::vector<std::string> story;
  for (Line& line : own) {
    NameNumber(&line.shown, "end", kEnds);
    NameNumber(&line.shown, "next", kNextSteps);
    story.push_back(std::move(line.shown));
  }
  return story;
}

}  // namespace bilberrypitch
