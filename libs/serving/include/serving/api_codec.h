// Translates requests and answers between an edge's wire format and the core.
#pragma once

#include <optional>
#include <string>

#include "serving/request.h"

namespace bilberrypitch {

struct Error;
struct HttpCall;

class ApiCodec {
 public:
  virtual ~ApiCodec() = default;
  // None, with `error` set, when the request is malformed.
  virtual std::optional<ServingRequest> DecodeRequest(HttpRequest request,
                                                      Error* error) const = 0;
  // Empty when the request names none.
  virtual RequestId RequestIdOf(const HttpRequest& request) const = 0;
  // Sets method, target, header fields and body of the call to an upstream.
  virtual void EncodeCall(const ServingRequest& request,
                          const UpstreamCallOptions& instructions,
                          HttpCall* call) const = 0;
  virtual ResponseInfo DecodeResponse(const ServingRequest& request, int status,
                                      const HttpHeaders& headers) const = 0;
  // An answer of the program's own. `retry_after` zero: none is named.
  virtual HttpResponse EncodeError(const Error& error, const RequestId& request,
                                   Millis retry_after) const = 0;
};

}  // namespace bilberrypitch
