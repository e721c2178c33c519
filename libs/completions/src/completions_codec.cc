// Decodes requests and encodes responses of the completions API.
#include "completions/completions_codec.h"

#include <fmt/format.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <charconv>
#include <utility>

#include "base/error.h"
#include "base/hash.h"
#include "base/json.h"
#include "completion_body.h"
#include "transport/http_call.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

namespace leaf = boost::leaf;

constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr char kAuthorizationHeader[] = "Authorization";
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
constexpr char kLastEventIdHeader[] = "Last-Event-Id";
constexpr std::string_view kAuthorizationScheme = "Bearer ";
constexpr size_t kGeneratedIdBytes = 12;
constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMaxOutputTokens = 1 << 20;
// The number of prompt tokens is estimated from the size of the body because
// the adapters' tokenizers are not known.
constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kMaxDeadlineMs = 3600 * 1000;

leaf::error_id MalformedRequestError(std::string detail) {
  return leaf::new_error(
      Error{ErrorKind::kMalformedRequest, std::move(detail), NotRun::kTrue});
}

leaf::result<CompletionBody> ParseBody(const std::string& text) {
  std::optional<CompletionBody> body = ReadCompletionBody(text);
  if (!body) {
    return MalformedRequestError("The body is not a JSON object.");
  }
  return std::move(*body);
}

leaf::result<ModelRef> DecodeModel(const CompletionBody& body) {
  if (!body.model.is_string() || body.model.as_string().empty()) {
    return MalformedRequestError("`model` must be a string.");
  }
  std::string name(body.model.as_string());
  size_t slash = name.find('/');
  ModelRef ref;
  ref.model = ModelId(name.substr(0, slash));
  if (slash != std::string::npos) {
    ref.adapter = AdapterId(name.substr(slash + 1));
  }
  return ref;
}

leaf::result<int64_t> DecodeMaxOutputTokens(const CompletionBody& body) {
  for (const auto& [name, value] :
       {std::pair("max_completion_tokens", &body.max_completion_tokens),
        std::pair("max_tokens", &body.max_tokens)}) {
    if (value->is_null()) {
      continue;
    }
    boost::system::error_code ec;
    auto tokens = value->to_number<int64_t>(ec);
    if (ec || tokens < 1 || tokens > kMaxOutputTokens) {
      return MalformedRequestError(fmt::format(
          "`{}` must be a whole number from 1 to {}.", name, kMaxOutputTokens));
    }
    return tokens;
  }
  return kDefaultOutputTokens;
}

leaf::result<std::optional<Millis>> DecodeTimeout(const HttpHeaders& headers) {
  std::string_view text = headers.Get(kDeadlineHeader);
  if (text.empty()) {
    return std::nullopt;
  }
  int64_t ms = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      ms < 1 || ms > kMaxDeadlineMs) {
    return MalformedRequestError(
        fmt::format("{} must be a whole number from 1 to {}.", kDeadlineHeader,
                    kMaxDeadlineMs));
  }
  return std::optional<Millis>(Millis(ms));
}

// Empty if the request has no key.
std::string DecodeApiKey(const HttpHeaders& headers) {
  std::string_view text = headers.Get(kAuthorizationHeader);
  bool has_scheme = text.size() > kAuthorizationScheme.size() &&
                    EqualFieldNames(text.substr(0, kAuthorizationScheme.size()),
                                    kAuthorizationScheme);
  return has_scheme ? std::string(text.substr(kAuthorizationScheme.size()))
                    : "";
}

leaf::result<ServingRequest> DecodeCompletion(HttpRequest request) {
  ServingRequest decoded;
  if (request.method != "POST") {
    return leaf::new_error(Error{ErrorKind::kMethodNotAllowed,
                                 "Completions are asked for by POST.",
                                 NotRun::kTrue});
  }
  BOOST_LEAF_AUTO(body, ParseBody(request.body));
  BOOST_LEAF_ASSIGN(decoded.model, DecodeModel(body));
  BOOST_LEAF_ASSIGN(decoded.max_output_tokens, DecodeMaxOutputTokens(body));
  BOOST_LEAF_ASSIGN(decoded.timeout, DecodeTimeout(request.headers));
  decoded.prompt_tokens =
      static_cast<int64_t>(request.body.size()) / kBytesPerToken;
  decoded.has_token_counts = true;
  decoded.api_key = DecodeApiKey(request.headers);
  decoded.method = std::move(request.method);
  decoded.host = std::string(request.headers.Get("Host"));
  decoded.target = std::move(request.target);
  decoded.path = std::move(request.path);
  decoded.last_event_id = std::string(request.headers.Get(kLastEventIdHeader));
  decoded.headers = EndToEndHeaders(
      request.headers,
      {kAuthorizationHeader, kDeadlineHeader, kRequestIdHeader});
  decoded.body = std::move(request.body);
  return decoded;
}

}  // namespace

std::optional<ServingRequest> CompletionsCodec::DecodeRequest(
    HttpRequest request, Error* error) const {
  RequestId id = RequestIdOf(request);
  if (id.empty()) {
    id = RequestId(RandomHex(kGeneratedIdBytes));
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ServingRequest>> {
        BOOST_LEAF_AUTO(decoded, DecodeCompletion(std::move(request)));
        decoded.id = id;
        return std::optional<ServingRequest>(std::move(decoded));
      },
      [&](const Error& cause) -> std::optional<ServingRequest> {
        *error = cause;
        return std::nullopt;
      },
      [&]() -> std::optional<ServingRequest> {
        *error = {ErrorKind::kInternal, "The request could not be read.",
                  NotRun::kTrue};
        return std::nullopt;
      });
}

RequestId CompletionsCodec::RequestIdOf(const HttpRequest& request) const {
  return RequestId(std::string(request.headers.Get(kRequestIdHeader)));
}

void CompletionsCodec::EncodeCall(const ServingRequest& request,
                                  const UpstreamCallOptions& options,
                                  HttpCall* call) const {
  upstream_codec_->EncodeCall(request, options, call);
}

void CompletionsCodec::EncodeForPeer(const ServingRequest& request,
                                     Millis time_left, HttpCall* call) const {
  call->method = request.method;
  call->headers = request.headers;
  call->body = request.body;
  call->headers.Add(std::string(kRequestIdHeader), request.id.str());
  call->headers.Add(std::string(kDeadlineHeader),
                    std::to_string(std::max<int64_t>(1, time_left.count())));
  if (!request.api_key.empty()) {
    call->headers.Add(std::string(kAuthorizationHeader),
                      std::string(kAuthorizationScheme) + request.api_key);
  }
}

ResponseInfo CompletionsCodec::DecodeResponse(
    const ServingRequest& request, int status,
    const HttpHeaders& headers) const {
  ResponseInfo info = upstream_codec_->DecodeResponse(request, status, headers);
  info.forward.Add(kRequestIdHeader, request.id.str());
  return info;
}

HttpResponse CompletionsCodec::EncodeError(const Error& error,
                                           const RequestId& request_id,
                                           Millis retry_after) const {
  HttpResponse response = ErrorResponse(error, request_id.str());
  if (retry_after > Millis(0) && response.headers.Get("Retry-After").empty()) {
    response.headers.Add("Retry-After",
                         fmt::format("{:.0f}", retry_after.seconds() + 1));
  }
  return response;
}

}  // namespace bilberrypitch
