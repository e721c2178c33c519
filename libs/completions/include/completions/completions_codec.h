// The program's own interface for callers, in the style of OpenAI's
// completions: POST /v1/chat/completions and /v1/completions.
//
// The body's `model` names an adapter as MODEL/ADAPTER, or a base model; the
// key comes as `Authorization: Bearer KEY`, the request's id as `X-Request-Id`
// (one is made when there is none), the time that the caller waits as
// `X-Deadline-Ms`. Host and path choose the route as on the other edge, and
// method, path and body reach the upstream unchanged.
#pragma once

#include "serving/api_codec.h"

namespace bilberrypitch {

class CompletionsCodec : public ApiCodec {
 public:
  // `upstreams` speaks with the upstreams; it outlives this.
  explicit CompletionsCodec(const ApiCodec* upstreams)
      : upstreams_(upstreams) {}

  std::optional<ServingRequest> DecodeRequest(HttpRequest request,
                                              Error* error) const override;
  RequestId RequestIdOf(const HttpRequest& request) const override;
  void EncodeCall(const ServingRequest& request,
                  const UpstreamCallOptions& instructions,
                  HttpCall* call) const override;
  ResponseInfo DecodeResponse(const ServingRequest& request, int status,
                              const HttpHeaders& headers) const override;
  HttpResponse EncodeError(const Error& error, const RequestId& request,
                           Millis retry_after) const override;

 private:
  const ApiCodec* const upstreams_;
};

}  // namespace bilberrypitch
