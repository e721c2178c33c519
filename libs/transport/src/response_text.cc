// Implements the text of responses.
#include "response_text.h"

#include <fmt/format.h>

namespace bilberrypitch {

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

std::string ClosingResponseText(const HttpResponse& response) {
  std::string text =
      fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\n", response.status,
                  ReasonPhrase(response.status));
  for (const HttpHeader& field : response.headers.fields()) {
    text += fmt::format("{}: {}\r\n", field.name, field.value);
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n{}",
                            response.body.size(), response.body);
}

}  // namespace bilberrypitch
