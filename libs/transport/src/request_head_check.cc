// Checks the heads of requests.
#include "request_head_check.h"

#include <algorithm>

namespace bilberrypitch {

std::string FaultOfRequestHead(const HttpHeaders& headers,
                               const InspectedRequest& inspected) {
  if (!inspected.is_known_version) {
    return "Only HTTP/1.0 and HTTP/1.1 are spoken here.";
  }
  int hosts = 0;
  for (const HttpHeader& field : headers.fields()) {
    // The library takes a space before the colon for a part of the name, so
    // that it misses a length or a coding that others see.
    if (!IsFieldName(field.name)) {
      return "A field has a name with a character that no name has.";
    }
    hosts += EqualFieldNames(field.name, "Host") ? 1 : 0;
  }
  if (hosts > 1) {
    return "The field Host stands more than once.";
  }
  return hosts == 0 && !inspected.is_http_1_0 ? "The field Host is missing."
                                              : "";
}

}  // namespace bilberrypitch
