// What all stand-ins share: their HTTP server and JSON helpers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/json.h"
#include "transport/http_server.h"

namespace bilberrypitch::lab {

// Options for a stand-in on the loopback address.
HttpServerOptions LabServerOptions(uint16_t port);

HttpResponse JsonResponse(int status, const json::value& body);

// The body as an object; empty when it is none.
json::object ParseObject(std::string_view text);

// Members of an object with a default for those that are missing.
int64_t IntOr(const json::object& object, std::string_view name,
              int64_t fallback);
bool BoolOr(const json::object& object, std::string_view name, bool fallback);
std::string StringOr(const json::object& object, std::string_view name,
                     std::string_view fallback);

}  // namespace bilberrypitch::lab
