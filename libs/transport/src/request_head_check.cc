// Checks the heads of requests.
#include "request_head_check.h"

#include <array>
#include <string_view>

namespace bilberrypitch {
namespace {

constexpr std::string_view kHostField = "Host";
constexpr std::array<std::string_view, 3> kSingleFields = {
    kHostField, "Content-Type", "Authorization"};

}  // namespace

std::string FaultOfRequestHead(const HttpHeaders& headers,
                               const InspectedRequest& inspected) {
  if (!inspected.is_known_version) {
    return "Only HTTP/1.0 and HTTP/1.1 are spoken here.";
  }
  for (const HttpHeader& field : headers.fields()) {
    // The library takes a space before the colon for a part of the name, so
    // that it misses a length or a coding that others see.
    if (!IsFieldName(field.name)) {
      return "A field has a name with a character that no name has.";
    }
  }
  std::string_view repeated = FindRepeated(headers, kSingleFields);
  if (!repeated.empty()) {
    return RepeatedFieldText(repeated);
  }
  bool needs_host = !inspected.is_http_1_0;
  return needs_host && headers.Count(kHostField) == 0
             ? "The field Host is missing."
             : "";
}

}  // namespace bilberrypitch
