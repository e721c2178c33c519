// Tests the completions API.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

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

// Guards against: a field of a nested object, of an array or under a similar
// key is taken for the top-level one, or an escaped key is missed.
TEST_CASE("only fields of the top-level object count") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  const std::string long_key = "max_tokens" + std::string(5000, 'x');
  for (const std::string& body : {
           std::string(R"({"\u006dodel":"b\/c","max_tok\u0065ns":7})"),
           std::string(R"({"model":"b/c","max_tokens":7,)"
                       R"("a":{"model":"x","max_tokens":8}})"),
           std::string(R"({"a":{"model":1,"max_completion_tokens":8},)"
                       R"("model":"b/c","max_tokens":7,)"
                       R"("b":[[],{"max_tokens":8},"model",9]})"),
           std::string(R"({"model":"b/c","max_tokens":7,"max_tokens\u0000":8,)"
                       R"("max_token":8,"":8,"max_tokens_":8})"),
           fmt::format(
               R"({{"model":"b/c","max_tokens":7,"{0}":8,"\u0061{0}":8}})",
               long_key),
       }) {
    INFO(body);
    Error error;
    std::optional<ServingRequest> decoded =
        codec.DecodeRequest(ChatRequest(body), &error);
    REQUIRE(decoded);
    REQUIRE(decoded->model.model == ModelId("b"));
    REQUIRE(decoded->model.adapter == AdapterId("c"));
    REQUIRE(decoded->max_output_tokens == 7);
  }
}

// Guards against: a string that the parser hands over in parts loses some.
TEST_CASE("a long model name with escapes is kept whole") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  std::string escaped = "base/";
  std::string name;
  for (int i = 0; i < 3000; ++i) {
    escaped += R"(ab\u0063)";
    name += "abc";
  }
  Error error;
  std::optional<ServingRequest> decoded = codec.DecodeRequest(
      ChatRequest(R"({"model":"x","model":")" + escaped + R"("})"), &error);
  REQUIRE(decoded);
  REQUIRE(decoded->model.model == ModelId("base"));
  REQUIRE(decoded->model.adapter == AdapterId(name));
}

// Guards against: the last of duplicate fields does not replace the others, or
// numbers at the limits are read otherwise than their value says.
TEST_CASE("the last duplicate counts and numbers are read by value") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  for (const auto& [fields, tokens] : std::vector<std::pair<std::string, int>>{
           {R"("max_tokens":8,"max_tokens":7)", 7},
           {R"("max_tokens":"x","max_tokens":7)", 7},
           {R"("max_tokens":[1],"max_tokens":7)", 7},
           {R"("max_tokens":7,"max_tokens":null)", 256},
           {R"("max_tokens":7,"max_completion_tokens":9)", 9},
           {R"("max_tokens":7,"max_completion_tokens":null)", 7},
           {R"("max_tokens":"x","max_completion_tokens":9)", 9},
           {R"("max_tokens":1)", 1},
           {R"("max_tokens":1048576)", 1048576},
           {R"("max_tokens":7.0)", 7},
           {R"("max_tokens":0.7e1)", 7}}) {
    INFO(fields);
    Error error;
    std::optional<ServingRequest> decoded = codec.DecodeRequest(
        ChatRequest(R"({"model":"m",)" + fields + "}"), &error);
    REQUIRE(decoded);
    REQUIRE(decoded->max_output_tokens == tokens);
  }
}

// Guards against: reading without a tree accepts what the tree's parser
// rejected.
TEST_CASE("malformed documents and wrong types are rejected") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  const std::string not_object = "The body is not a JSON object.";
  const std::string not_model = "`model` must be a string.";
  const std::string not_tokens =
      "`max_tokens` must be a whole number from 1 to 1048576.";
  for (const auto& [body, detail] :
       std::vector<std::pair<std::string, std::string>>{
           {R"({"model":"m"}x)", not_object},
           {R"({"model":"m"}{})", not_object},
           {R"({"model":"m"})" + std::string(1, '\0'), not_object},
           {R"({"model":"m",})", not_object},
           {R"({"model":"m","a":[1,]})", not_object},
           {R"({"model":"m","a":01})", not_object},
           {R"({"model":"m","a":tru})", not_object},
           {R"({"model":"m","a":")"
            "\xff"
            R"("})",
            not_object},
           {R"({"model":"m","a":"\ud800"})", not_object},
           {R"({"model":"m"/**/})", not_object},
           {R"({"model":"m")", not_object},
           {R"([{"model":"m"}])", not_object},
           {R"(["model","m"])", not_object},
           {R"("model")", not_object},
           {"1", not_object},
           {"null", not_object},
           {R"({"model":{"model":"m"}})", not_model},
           {R"({"model":["m"]})", not_model},
           {R"({"model":"m","model":null})", not_model},
           {R"({"model":"m","model":""})", not_model},
           {R"({"model":"m","model":{}})", not_model},
           {R"({"model":"m","max_tokens":1048577})", not_tokens},
           {R"({"model":"m","max_tokens":-1})", not_tokens},
           {R"({"model":"m","max_tokens":7.5})", not_tokens},
           {R"({"model":"m","max_tokens":9223372036854775807})", not_tokens},
           {R"({"model":"m","max_tokens":-9223372036854775808})", not_tokens},
           {R"({"model":"m","max_tokens":18446744073709551615})", not_tokens},
           {R"({"model":"m","max_tokens":18446744073709551617})", not_tokens},
           {R"({"model":"m","max_tokens":1e400})", not_tokens},
           {R"({"model":"m","max_tokens":true})", not_tokens},
           {R"({"model":"m","max_tokens":[7]})", not_tokens},
           {R"({"model":"m","max_tokens":{"max_tokens":7}})", not_tokens},
           {R"({"model":"m","max_tokens":"7"})", not_tokens},
           {R"({"model":"m","max_tokens":7,"max_tokens":"7"})", not_tokens}}) {
    INFO(body);
    Error error;
    REQUIRE_FALSE(codec.DecodeRequest(ChatRequest(body), &error));
    REQUIRE(error.kind == ErrorKind::kMalformedRequest);
    REQUIRE(error.detail == detail);
  }
  Error error;
  REQUIRE(
      codec.DecodeRequest(ChatRequest(" {\"model\":\"m\"} \r\n\t"), &error));
}

// Guards against: nested values exhaust the stack.
TEST_CASE("a body nests at most 32 levels") {
  FakeUpstreamCodec upstream_codec;
  CompletionsCodec codec(&upstream_codec);
  auto nested = [](size_t levels) {
    return R"({"model":"m","a":)" + std::string(levels - 1, '[') +
           std::string(levels - 1, ']') + "}";
  };
  Error error;
  REQUIRE(codec.DecodeRequest(ChatRequest(nested(32)), &error));
  REQUIRE_FALSE(codec.DecodeRequest(ChatRequest(nested(33)), &error));
  REQUIRE_FALSE(codec.DecodeRequest(ChatRequest(nested(1 << 20)), &error));
  REQUIRE(error.kind == ErrorKind::kMalformedRequest);
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
