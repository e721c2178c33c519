// Reads queries with RESTinio and writes them with libcurl.
#include "transport/query_string.h"

#include <curl/curl.h>

#include <memory>
#include <restinio/uri_helpers.hpp>

namespace bilberrypitch {
namespace {

std::string Escape(const std::string& text) {
  std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  return escaped ? escaped.get() : "";
}

}  // namespace

std::optional<QueryParameters> ParseQuery(std::string_view query) {
  QueryParameters parameters;
  if (query.empty()) {
    return parameters;
  }
  auto parsed =
      restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
          restinio::string_view_t(query.data(), query.size()));
  if (!parsed) {
    return std::nullopt;
  }
  for (const auto& [name, value] : *parsed) {
    if (!parameters.emplace(name, value).second) {
      return std::nullopt;
    }
  }
  return parameters;
}

std::string FormatQuery(const QueryParameters& parameters) {
  std::string query;
  for (const auto& [name, value] : parameters) {
    query += (query.empty() ? "" : "&") + Escape(name) + "=" + Escape(value);
  }
  return query;
}

}  // namespace bilberrypitch
