// Recognition of heads of responses by the shape of their lines.
#include "serving/embedded_response.h"

#include <algorithm>
#include <cstddef>

namespace bilberrypitch {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersion = "HTTP/1.";
constexpr size_t kCodeDigits = 3;

// The character classes of the standard library depend on the locale.
bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsLetter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool IsNameCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || IsLetter(c) || kOthers.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  auto code = static_cast<unsigned char>(c);
  return (code < 0x20 && c != '\t') || code == 0x7f;
}

// Whether the text begins with a version and a whole status code.
bool BeginsWithStatus(std::string_view text) {
  if (!text.starts_with(kVersion)) {
    return false;
  }
  text.remove_prefix(kVersion.size());
  constexpr size_t kSize = 2 + kCodeDigits;  // Minor version, space, code.
  if (text.size() < kSize || !IsDigit(text[0]) || text[1] != ' ') {
    return false;
  }
  std::string_view code = text.substr(2, kCodeDigits);
  return std::all_of(code.begin(), code.end(), IsDigit) &&
         (text.size() == kSize || text[kSize] == ' ');
}

// The body before it may lack a line end, so a status line may begin anywhere.
bool EndsWithStatusLine(std::string_view line) {
  auto control = std::find_if(line.rbegin(), line.rend(), IsControl);
  line.remove_prefix(static_cast<size_t>(line.rend() - control));
  for (size_t at = line.find(kVersion); at != std::string_view::npos;
       at = line.find(kVersion, at + 1)) {
    if (BeginsWithStatus(line.substr(at))) {
      return true;
    }
  }
  return false;
}

bool IsName(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsField(std::string_view line) {
  size_t colon = line.find(':');
  return colon != std::string_view::npos && colon > 0 &&
         IsName(line.substr(0, colon)) &&
         std::none_of(line.begin(), line.end(), IsControl);
}

// Whether the text may be the first part of a field or of an empty line, up to
// within the line end.
bool MayBeginField(std::string_view text) {
  if (text.ends_with(kLineEnd[0])) {
    text.remove_suffix(1);
  }
  return IsName(text) || IsField(text);
}

}  // namespace

bool ContainsResponseHead(std::string_view body) {
  bool in_head = false;  // Behind a status line and fields only.
  bool has_field = false;
  for (size_t end = body.find(kLineEnd); end != std::string_view::npos;
       end = body.find(kLineEnd)) {
    std::string_view line = body.substr(0, end);
    body.remove_prefix(end + kLineEnd.size());
    if (in_head && has_field && line.empty()) {
      return true;
    }
    if (in_head && IsField(line)) {
      has_field = true;
      continue;
    }
    in_head = EndsWithStatusLine(line);
    has_field = false;
  }
  return in_head && has_field && MayBeginField(body);
}

}  // namespace bilberrypitch
