// The gateway's own API for callers, in the style of OpenAI's completions API:
// POST /v1/chat/completions and /v1/completions.
//
// The field `model` of the body is MODEL/ADAPTER, or MODEL for a base model.
// Header fields carry the API key (`Authorization: Bearer KEY`), the request id
// (`X-Request-Id`; generated if absent) and the caller's timeout
// (`X-Deadline-Ms`). Host and path select the route as in the platform's API;
// method, path and body reach the upstream unchanged.
#pragma once

#include "serving/api_codec.h"

namespace bilberrypitch {

// Decodes completion requests and encodes errors for their callers.
class CompletionsCodec : public ApiCodec {
 public:
  // `upstream_codec` encodes calls to upstreams and decodes their responses. It
  // must outlive this object.
  explicit CompletionsCodec(const ApiCodec* upstream_codec)
      : upstream_codec_(upstream_codec) {}

  std::optional<ServingRequest> DecodeRequest(HttpRequest request,
                                              Error* error) const override;
  RequestId RequestIdOf(const HttpRequest& request) const override;
  void EncodeCall(const ServingRequest& request,
                  const UpstreamCallOptions& options,
                  HttpCall* call) const override;
  void EncodeForPeer(const ServingRequest& request, Millis time_left,
                     HttpCall* call) const override;
  ResponseInfo DecodeResponse(const ServingRequest& request, int status,
                              const HttpHeaders& headers) const override;
  HttpResponse EncodeError(const Error& error, const RequestId& request_id,
                           Millis retry_after) const override;

 private:
  const ApiCodec* const upstream_codec_;
};

}  // namespace bilberrypitch
