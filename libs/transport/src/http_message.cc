// Implements the header fields of HTTP messages.
#include "transport/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace bilberrypitch {
namespace {

// Fields that a proxy does not forward: the hop-by-hop fields, and
// `Content-Length` and `Expect`.
constexpr std::array<std::string_view, 9> kUnforwardedFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Trailer",
    "Upgrade",    "Content-Length",    "Expect"};

template <typename List>
bool IsNameIn(std::string_view name, const List& list) {
  return std::any_of(list.begin(), list.end(), [&](std::string_view item) {
    return EqualFieldNames(name, item);
  });
}

// Splits a list at its commas and removes the spaces around each item.
std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    size_t end = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, end);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    items.push_back(item);
    text = text.substr(std::min(end + 1, text.size()));
  }
  return items;
}

bool IsTokenChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

bool IsFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool EqualFieldNames(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         strncasecmp(first.data(), second.data(), first.size()) == 0;
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

std::string_view HttpHeaders::Get(std::string_view name) const {
  for (const HttpHeader& field : fields_) {
    if (EqualFieldNames(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

size_t HttpHeaders::Count(std::string_view name) const {
  return std::count_if(fields_.begin(), fields_.end(),
                       [name](const HttpHeader& field) {
                         return EqualFieldNames(field.name, name);
                       });
}

std::string_view FindRepeated(const HttpHeaders& headers,
                              std::span<const std::string_view> names) {
  auto it = std::find_if(
      names.begin(), names.end(),
      [&](std::string_view name) { return headers.Count(name) > 1; });
  return it != names.end() ? *it : std::string_view();
}

std::string RepeatedFieldText(std::string_view name) {
  return "The field " + std::string(name) + " stands more than once.";
}

size_t HttpHeaders::ByteSize() const {
  size_t bytes = 0;
  for (const HttpHeader& field : fields_) {
    // 4 bytes for ": " and the line end.
    bytes += field.name.size() + field.value.size() + 4;
  }
  return bytes;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const std::vector<std::string_view>& excluded) {
  HttpHeaders forwarded;
  std::vector<std::string_view> named = SplitList(headers.Get("Connection"));
  for (const HttpHeader& field : headers.fields()) {
    if (!IsNameIn(field.name, kUnforwardedFields) &&
        !IsNameIn(field.name, named) && !IsNameIn(field.name, excluded)) {
      forwarded.Add(field.name, field.value);
    }
  }
  return forwarded;
}

}  // namespace bilberrypitch
