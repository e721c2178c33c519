// Checks and reads the lines of a response's head.
#include "transport/response_head.h"

#include <algorithm>
#include <cctype>
#include <string>

#include "transport/http_call.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kProtocol = "HTTP/";
constexpr std::string_view kLengthField = "Content-Length";
constexpr std::string_view kCodingField = "Transfer-Encoding";
constexpr std::string_view kVersions = "HTTP/1.";
// "HTTP/1.1 200".
constexpr size_t kVersionEnd = 8;
constexpr size_t kStatusEnd = 12;
constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastFinalStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Of a length that the HTTP library surely reads as a number.
constexpr size_t kMaxLengthDigits = 18;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Characters that no line of a head contains.
bool IsControl(char c) {
  constexpr char kDelete = 127;
  return (c >= 0 && c < ' ' && c != '\t') || c == kDelete;
}

// True for a text that begins like a status line.
bool BeginsStatusLine(std::string_view text) {
  return text.size() >= kStatusEnd && text.starts_with(kVersions) &&
         IsDigit(text[kVersions.size()]) && text[kVersionEnd] == ' ' &&
         std::all_of(text.begin() + kVersionEnd + 1, text.begin() + kStatusEnd,
                     IsDigit);
}

bool IsFinal(int status) {
  return status >= kFirstFinalStatus && status <= kLastFinalStatus;
}

// No call asks for another protocol, so nothing follows a 101 that can be read.
bool IsInterim(int status) {
  return status >= kFirstInterimStatus && status < kFirstFinalStatus &&
         status != kSwitchingProtocols;
}

// True if a status line begins at `from` or later.
bool ContainsStatusLine(std::string_view text, size_t from) {
  for (size_t at = text.find(kProtocol, from); at != std::string_view::npos;
       at = text.find(kProtocol, at + 1)) {
    if (BeginsStatusLine(text.substr(at))) {
      return true;
    }
  }
  return false;
}

std::string_view WithoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::string_view Trim(std::string_view text) {
  size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Whether a field with this name has a value that contains `token`, which is
// in lower case.
bool FieldContains(const HttpHeaders& headers, std::string_view name,
                   std::string_view token) {
  for (const HttpHeader& field : headers.fields()) {
    if (!EqualFieldNames(field.name, name)) {
      continue;
    }
    std::string lower(field.value);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (lower.find(token) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool IsLength(std::string_view value) {
  return !value.empty() && value.size() <= kMaxLengthDigits &&
         std::all_of(value.begin(), value.end(), IsDigit);
}

}  // namespace

// Recipients differ in which of two framings they follow, so that a part of
// such a response may be taken for the next one.
bool ResponseHead::HasOneFraming() const {
  int lengths = 0;
  int codings = 0;
  bool valid = true;
  for (const HttpHeader& field : headers_.fields()) {
    if (EqualFieldNames(field.name, kLengthField)) {
      ++lengths;
      valid = valid && IsLength(field.value);
    } else if (EqualFieldNames(field.name, kCodingField)) {
      ++codings;
      valid = valid && !is_http_1_0_ && EqualFieldNames(field.value, "chunked");
    }
  }
  return valid && lengths + codings <= 1;
}

BodyFraming ResponseHead::framing(std::string_view method) const {
  if (method == "HEAD" || status_ == kNoContent || status_ == kNotModified) {
    return BodyFraming::kLength;
  }
  if (!headers_.Get(kCodingField).empty()) {
    return BodyFraming::kChunked;
  }
  return headers_.Get(kLengthField).empty() ? BodyFraming::kUntilClose
                                            : BodyFraming::kLength;
}

bool ResponseHead::keeps_connection() const {
  return !is_http_1_0_ && !FieldContains(headers_, "Connection", "close");
}

size_t ResponseHead::cost() const {
  // Of the fields: libcurl's, the outcome's, and those that are passed on.
  constexpr size_t kCopies = 3;
  // Two strings, and what libcurl keeps of a field.
  constexpr size_t kLineBytes = 96;
  return kCopies * (bytes_ + lines_ * kLineBytes);
}

ResponseHead::Progress ResponseHead::Feed(std::string_view line) {
  bytes_ += line.size();
  ++lines_;
  if (bytes_ > kMaxBytes) {
    return Progress::kTooLarge;
  }
  line = WithoutLineEnd(line);
  if (std::any_of(line.begin(), line.end(), IsControl)) {
    return Progress::kMalformed;
  }
  return ReadLine(line);
}

ResponseHead::Progress ResponseHead::ReadLine(std::string_view line) {
  if (part_ == Part::kStatusLine) {
    return ReadStatusLine(line);
  }
  if (line.empty()) {
    return EndBlock();
  }
  return ReadField(line);
}

ResponseHead::Progress ResponseHead::ReadStatusLine(std::string_view line) {
  bool ends_after_status =
      line.size() == kStatusEnd ||
      (line.size() > kStatusEnd && line[kStatusEnd] == ' ');
  if (!BeginsStatusLine(line) || !ends_after_status ||
      ContainsStatusLine(line, 1)) {
    return Progress::kMalformed;
  }
  is_http_1_0_ = line[kVersions.size()] == '0';
  status_ = 0;
  for (char c : line.substr(kVersionEnd + 1, kStatusEnd - kVersionEnd - 1)) {
    status_ = status_ * 10 + (c - '0');
  }
  if (!IsFinal(status_) && !IsInterim(status_)) {
    return Progress::kMalformed;
  }
  headers_ = HttpHeaders();
  part_ = Part::kFields;
  return Progress::kIncomplete;
}

ResponseHead::Progress ResponseHead::ReadField(std::string_view line) {
  size_t colon = line.find(':');
  if (colon == std::string_view::npos || ContainsStatusLine(line, 0)) {
    return Progress::kMalformed;
  }
  std::string_view name = line.substr(0, colon);
  if (!IsFieldName(name)) {
    return Progress::kMalformed;
  }
  if (part_ == Part::kFields) {
    headers_.Add(std::string(name), std::string(Trim(line.substr(colon + 1))));
  }
  return Progress::kIncomplete;
}

// An interim response has no body and is followed by another head, the final
// one perhaps by trailers.
ResponseHead::Progress ResponseHead::EndBlock() {
  if (IsInterim(status_)) {
    if (headers_.Count(kLengthField) + headers_.Count(kCodingField) > 0) {
      return Progress::kMalformed;
    }
    part_ = Part::kStatusLine;
    return Progress::kIncomplete;
  }
  bool is_head = part_ == Part::kFields;
  if (is_head && !HasOneFraming()) {
    return Progress::kMalformed;
  }
  part_ = Part::kTrailers;
  return is_head ? Progress::kComplete : Progress::kIncomplete;
}

}  // namespace bilberrypitch
