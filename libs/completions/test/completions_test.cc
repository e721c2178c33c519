// Tests of the completions interface.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "completions/completions_codec.h"
#include "transport/http_call.h"

namespace bilberrypitch {
namespace {

// Upstreams that take what they are given.
class PlainUpstreams : public ApiCodec {
 public:
  std::optional<ServingRequest> DecodeRequest(HttpRequest,
                                              Error*) const override {
    return std::nullopt;
  }
  RequestId RequestIdOf(const HttpRequest&) const override { return {}; }
  void EncodeCall(const ServingRequest& request, const UpstreamCallOptions&,
                  HttpCall* call) const override {
    call->body = request.body;
  }
  ResponseInfo DecodeResponse(const ServingRequest&, int,
                              const HttpHeaders&) const override {
    ResponseInfo facts;
    facts.matches_request = true;
    return facts;
  }
  HttpResponse EncodeError(const Error&, const RequestId&,
                           Millis) const override {
    return {};
  }
};

HttpRequest Chat(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions?trace=1";
  request.path = "/v1/chat/completions";
  request.headers.Add("Host", "h");
  request.headers.Add("Authorization", "Bearer k-1");
  request.headers.Add("X-Request-Id", "r1");
  request.headers.Add("X-Deadline-Ms", "900");
  request.headers.Add("X-Kept", "1");
  request.headers.Add("Connection", "close");
  request.body = body;
  return request;
}

constexpr char kBody[] =
    R"({"model":"base/coach","messages":[],"max_tokens":7})";

}  // namespace

TEST_CASE("a completion is decoded and forwarded without its key") {
  PlainUpstreams upstreams;
  CompletionsCodec codec(&upstreams);
  Error error;
  std::optional<ServingRequest> it = codec.DecodeRequest(Chat(kBody), &error);
  REQUIRE(it);
  REQUIRE(it->id == RequestId("r1"));
  REQUIRE(it->api_key == "k-1");
  REQUIRE(it->model.model == ModelId("base"));
  REQUIRE(it->model.adapter == AdapterId("coach"));
  REQUIRE(it->max_output_tokens == 7);
  REQUIRE(it->prompt_tokens > 0);
  REQUIRE(it->timeout == Millis(900));
  REQUIRE(it->target == "/v1/chat/completions?trace=1");
  REQUIRE(it->headers.Get("Authorization").empty());
  REQUIRE(it->headers.Get("Connection").empty());
  REQUIRE(it->headers.Get("X-Kept") == "1");
  HttpCall call;
  codec.EncodeCall(*it, {}, &call);
  REQUIRE(call.body == kBody);
  REQUIRE(codec.DecodeResponse(*it, 200, {}).forward.Get("X-Request-Id") ==
          "r1");
}

TEST_CASE("a request without an id gets one of its own") {
  PlainUpstreams upstreams;
  CompletionsCodec codec(&upstreams);
  Error error;
  HttpRequest request = Chat(kBody);
  request.headers = HttpHeaders();
  std::optional<ServingRequest> first = codec.DecodeRequest(request, &error);
  std::optional<ServingRequest> second = codec.DecodeRequest(request, &error);
  REQUIRE_FALSE(first->id.empty());
  REQUIRE(first->id != second->id);
  REQUIRE(first->api_key.empty());
}

TEST_CASE("what can't be read is refused as malformed and unrun") {
  PlainUpstreams upstreams;
  CompletionsCodec codec(&upstreams);
  for (const char* body :
       {"", "{", "[]", "{}", R"({"model":1})", R"({"model":""})",
        R"({"model":"m","max_tokens":0})", R"({"model":"m","max_tokens":"x"})",
        R"({"model":"m","max_tokens":9000000})"}) {
    INFO(body);
    Error error;
    REQUIRE_FALSE(codec.DecodeRequest(Chat(body), &error));
    REQUIRE(error.kind == ErrorKind::kMalformedRequest);
    REQUIRE(error.not_run == NotRun::kTrue);
  }
  Error error;
  HttpRequest request = Chat(kBody);
  request.headers = HttpHeaders();
  request.headers.Add("X-Deadline-Ms", "soon");
  REQUIRE_FALSE(codec.DecodeRequest(request, &error));
  REQUIRE(error.kind == ErrorKind::kMalformedRequest);
  request = Chat(kBody);
  request.method = "GET";
  REQUIRE_FALSE(codec.DecodeRequest(request, &error));
  REQUIRE(error.kind == ErrorKind::kMethodNotAllowed);
}

TEST_CASE("a refusal names its kind, the request and when to come back") {
  PlainUpstreams upstreams;
  CompletionsCodec codec(&upstreams);
  HttpResponse response = codec.EncodeError(
      {ErrorKind::kUnauthenticated, "The key is not known.", NotRun::kTrue},
      RequestId("r9"), Millis(1500));
  REQUIRE(response.status == 401);
  REQUIRE(response.headers.Get("X-Request-Id") == "r9");
  REQUIRE(response.headers.Get("Retry-After") == "2");
  REQUIRE(response.body.find("\"unauthenticated\"") != std::string::npos);
}

}  // namespace bilberrypitch
