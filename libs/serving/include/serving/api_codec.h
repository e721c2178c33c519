// Translates requests and responses between the wire format of an API and the
// types of the serving core. Each API that callers can use has one codec.
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
  // Returns nothing, with `error` set, if the request is malformed.
  virtual std::optional<ServingRequest> DecodeRequest(HttpRequest request,
                                                      Error* error) const = 0;
  // Returns the id given by the caller; empty if there is none.
  virtual RequestId RequestIdOf(const HttpRequest& request) const = 0;
  // Sets the method, target, header fields and body of the call to an upstream.
  virtual void EncodeCall(const ServingRequest& request,
                          const UpstreamCallOptions& options,
                          HttpCall* call) const = 0;
  // Sets the method, header fields and body of a call by which another instance
  // handles the request for its caller.
  virtual void EncodeForPeer(const ServingRequest& request, Millis time_left,
                             HttpCall* call) const = 0;
  // Reads the status and header fields of an upstream's response.
  virtual ResponseInfo DecodeResponse(const ServingRequest& request, int status,
                                      const HttpHeaders& headers) const = 0;
  // Builds a response that the gateway generates itself. `retry_after` zero: no
  // retry time is given.
  virtual HttpResponse EncodeError(const Error& error,
                                   const RequestId& request_id,
                                   Millis retry_after) const = 0;
};

}  // namespace bilberrypitch
