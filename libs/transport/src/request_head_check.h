// Finds requests whose heads one recipient may read in another way than the
// next, beside those that the server's library refuses.
#pragma once

#include <string>

#include "request_inspector.h"
#include "transport/http_message.h"

namespace bilberrypitch {

// Returns what is wrong with the head; empty if nothing is.
std::string FaultOfRequestHead(const HttpHeaders& headers,
                               const InspectedRequest& inspected);

}  // namespace bilberrypitch
