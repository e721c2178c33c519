// Implements the helpers that all fakes share.
#include "lab_server.h"

namespace bilberrypitch::lab {

HttpServerOptions LabServerOptions(uint16_t port) {
  HttpServerOptions options;
  options.bind_ip = "127.0.0.1";
  options.port = port;
  options.threads = 2;
  options.max_body_bytes = 4 << 20;
  options.max_header_bytes = 32 << 10;
  return options;
}

HttpResponse JsonResponse(int status, const json::value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

json::object ParseJsonObject(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  return !ec && value.is_object() ? value.get_object() : json::object();
}

int64_t IntOr(const json::object& object, std::string_view name,
              int64_t fallback) {
  const json::value* member = object.if_contains(name);
  return member != nullptr && member->is_number() ? member->to_number<int64_t>()
                                                  : fallback;
}

bool BoolOr(const json::object& object, std::string_view name, bool fallback) {
  const json::value* member = object.if_contains(name);
  return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

std::string StringOr(const json::object& object, std::string_view name,
                     std::string_view fallback) {
  const json::value* member = object.if_contains(name);
  return member != nullptr && member->is_string()
             ? std::string(member->get_string())
             : std::string(fallback);
}

}  // namespace bilberrypitch::lab
