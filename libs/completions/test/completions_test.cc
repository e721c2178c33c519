// Tests the completions API.
#include <catch2/catch.hpp>

#include "base/error.h"
#include "completions/completions_codec.h"
#include "transport/http_call.h"

namespace bilberrypitch {
namespace {

// A codec that forwards the body and accepts every response.
class FakeUpstreamCodec : public ApiCodec {
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
  void EncodeForPeer(const ServingRequest&, Millis, HttpCall*) const override {}
  ResponseInfo DecodeResponse(const ServingRequest&, int,
                              const HttpHeaders&) const override {
    ResponseInfo info;
    info.names_request = true;
    return info;
  }
  HttpResponse EncodeError(const Error&, const RequestId&,
                           Millis) const override {
    return {};
  }
};

HttpRequest ChatRequest(const std::string& body) {
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
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  Error error;
  std::optional<ServingRequest> decoded =
      codec.DecodeRequest(ChatRequest(kBody), &error);
  REQUIRE(decoded);
  REQUIRE(decoded->id == RequestId("r1"));
  REQUIRE(decoded->api_key == "k-1");
  REQUIRE(decoded->model.model == ModelId("base"));
  REQUIRE(decoded->model.adapter == AdapterId("coach"));
  REQUIRE(decoded->max_output_tokens == 7);
  REQUIRE(decoded->prompt_tokens > 0);
  REQUIRE(decoded->timeout == Millis(900));
  REQUIRE(decoded->target == "/v1/chat/completions?trace=1");
  REQUIRE(decoded->headers.Get("Authorization").empty());
  REQUIRE(decoded->headers.Get("Connection").empty());
  REQUIRE(decoded->headers.Get("X-Kept") == "1");
  HttpCall call;
  codec.EncodeCall(*decoded, {}, &call);
  REQUIRE(call.body == kBody);
  REQUIRE(codec.DecodeResponse(*decoded, 200, {}).forward.Get("X-Request-Id") ==
          "r1");
}

TEST_CASE("a request without an id gets a generated one") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  Error error;
  HttpRequest request = ChatRequest(kBody);
  request.headers = HttpHeaders();
  std::optional<ServingRequest> first = codec.DecodeRequest(request, &error);
  std::optional<ServingRequest> second = codec.DecodeRequest(request, &error);
  REQUIRE_FALSE(first->id.empty());
  REQUIRE(first->id != second->id);
  REQUIRE(first->api_key.empty());
}

TEST_CASE("malformed requests are rejected as not run") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  for (const char* body :
       {"", "{", "[]", "{}", R"({"model":1})", R"({"model":""})",
        R"({"model":"m","max_tokens":0})", R"({"model":"m","max_tokens":"x"})",
        R"({"model":"m","max_tokens":9000000})"}) {
    INFO(body);
    Error error;
    REQUIRE_FALSE(codec.DecodeRequest(ChatRequest(body), &error));
    REQUIRE(error.kind == ErrorKind::kMalformedRequest);
    REQUIRE(error.not_run == NotRun::kTrue);
  }
  Error error;
  HttpRequest request = ChatRequest(kBody);
  request.headers = HttpHeaders();
  request.headers.Add("X-Deadline-Ms", "soon");
  REQUIRE_FALSE(codec.DecodeRequest(request, &error));
  REQUIRE(error.kind == ErrorKind::kMalformedRequest);
  request = ChatRequest(kBody);
  request.method = "GET";
  REQUIRE_FALSE(codec.DecodeRequest(request, &error));
  REQUIRE(error.kind == ErrorKind::kMethodNotAllowed);
}

TEST_CASE("an error response has the kind, the request id and Retry-After") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  HttpResponse response = codec.EncodeError(
      {ErrorKind::kUnauthenticated, "The key is not known.", NotRun::kTrue},
      RequestId("r9"), Millis(1500));
  REQUIRE(response.status == 401);
  REQUIRE(response.headers.Get("X-Request-Id") == "r9");
  REQUIRE(response.headers.Get("Retry-After") == "2");
  REQUIRE(response.body.find("\"unauthenticated\"") != std::string::npos);
}

}  // namespace bilberrypitch
