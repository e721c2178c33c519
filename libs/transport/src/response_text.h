// Responses as they are written to a connection.
#pragma once

#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace bilberrypitch {

std::string_view ReasonPhrase(int status);
// The whole response, after which the connection is closed.
std::string ClosingResponseText(const HttpResponse& response);

}  // namespace bilberrypitch
