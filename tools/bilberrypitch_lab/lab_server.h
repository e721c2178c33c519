// HTTP server options and JSON helpers that all fakes share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/json.h"
#include "transport/http_server.h"

namespace bilberrypitch::lab {

// Returns the options of a fake's HTTP server on the loopback address.
HttpServerOptions LabServerOptions(uint16_t port);

// Returns a response with a JSON body.
HttpResponse JsonResponse(int status, const json::value& body);

// Parses a JSON object. Returns an empty object when `text` is not one.
json::object ParseJsonObject(std::string_view text);

// Return a member of an object, or `fallback` when it is missing or has another
// type.
int64_t IntOr(const json::object& object, std::string_view name,
              int64_t fallback);
bool BoolOr(const json::object& object, std::string_view name, bool fallback);
std::string StringOr(const json::object& object, std::string_view name,
                     std::string_view fallback);

}  // namespace bilberrypitch::lab
