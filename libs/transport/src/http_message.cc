// Header fields.
#include "transport/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace bilberrypitch {
namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Trailer",
    "Upgrade",    "Content-Length",    "Expect"};

template <typename List>
bool IsIn(std::string_view name, const List& list) {
  return std::any_of(list.begin(), list.end(), [&](std::string_view it) {
    return EqualFieldNames(name, it);
  });
}

// Splits at commas, without the spaces around.
std::vector<std::string_view> Items(std::string_view text) {
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

}  // namespace

bool EqualFieldNames(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         strncasecmp(first.data(), second.data(), first.size()) == 0;
}

void HttpHeaders::Add(std::string name, std::string value) {
  all_.push_back({std::move(name), std::move(value)});
}

std::string_view HttpHeaders::Get(std::string_view name) const {
  for (const HttpHeader& it : all_) {
    if (EqualFieldNames(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

size_t HttpHeaders::ByteSize() const {
  size_t n = 0;
  for (const HttpHeader& it : all_) {
    n += it.name.size() + it.value.size() + 4;
  }
  return n;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const std::vector<std::string_view>& dropped) {
  HttpHeaders kept;
  std::vector<std::string_view> named = Items(headers.Get("Connection"));
  for (const HttpHeader& it : headers.fields()) {
    if (!IsIn(it.name, kConnectionFields) && !IsIn(it.name, named) &&
        !IsIn(it.name, dropped)) {
      kept.Add(it.name, it.value);
    }
  }
  return kept;
}

}  // namespace bilberrypitch
