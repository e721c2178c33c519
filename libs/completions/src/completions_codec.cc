// Requests and answers of the completions interface.
#include "completions/completions_codec.h"

#include <fmt/format.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <charconv>

#include "base/error.h"
#include "base/hash.h"
#include "base/json.h"
#include "transport/http_call.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

namespace leaf = boost::leaf;

constexpr char kId[] = "X-Request-Id";
constexpr char kKey[] = "Authorization";
constexpr char kDeadline[] = "X-Deadline-Ms";
constexpr char kLastEvent[] = "Last-Event-Id";
constexpr std::string_view kKeyScheme = "Bearer ";
constexpr size_t kIdBytes = 12;
constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMostOutputTokens = 1 << 20;
// Prompts are counted by their length: the adapters' tokenizers are not known.
constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kMostDeadlineMs = 3600 * 1000;

leaf::error_id Malformed(std::string detail) {
  return leaf::new_error(
      Error{ErrorKind::kMalformedRequest, std::move(detail), NotRun::kTrue});
}

leaf::result<json::object> ParseBody(const std::string& text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(text, ec);
  if (ec || !parsed.is_object()) {
    return Malformed("The body is not a JSON object.");
  }
  return std::move(parsed.as_object());
}

leaf::result<ModelRef> ModelOf(const json::object& body) {
  const json::value* it = body.if_contains("model");
  if (it == nullptr || !it->is_string() || it->as_string().empty()) {
    return Malformed("`model` must be a string.");
  }
  std::string name(it->as_string());
  size_t slash = name.find('/');
  ModelRef ref;
  ref.model = ModelId(name.substr(0, slash));
  if (slash != std::string::npos) {
    ref.adapter = AdapterId(name.substr(slash + 1));
  }
  return ref;
}

leaf::result<int64_t> OutputTokensOf(const json::object& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const json::value* it = body.if_contains(name);
    if (it == nullptr || it->is_null()) {
      continue;
    }
    boost::system::error_code ec;
    auto n = it->to_number<int64_t>(ec);
    if (ec || n < 1 || n > kMostOutputTokens) {
      return Malformed(fmt::format("`{}` must be a whole number from 1 to {}.",
                                   name, kMostOutputTokens));
    }
    return n;
  }
  return kDefaultOutputTokens;
}

leaf::result<std::optional<Millis>> TimeAllowedOf(const HttpHeaders& headers) {
  std::string_view text = headers.Get(kDeadline);
  if (text.empty()) {
    return std::nullopt;
  }
  int64_t ms = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      ms < 1 || ms > kMostDeadlineMs) {
    return Malformed(fmt::format("{} must be a whole number from 1 to {}.",
                                 kDeadline, kMostDeadlineMs));
  }
  return std::optional<Millis>(Millis(ms));
}

// Empty when none is shown.
std::string KeyOf(const HttpHeaders& headers) {
  std::string_view text = headers.Get(kKey);
  bool fits = text.size() > kKeyScheme.size() &&
              EqualFieldNames(text.substr(0, kKeyScheme.size()), kKeyScheme);
  return fits ? std::string(text.substr(kKeyScheme.size())) : "";
}

leaf::result<ServingRequest> Decode(HttpRequest request) {
  ServingRequest decoded;
  if (request.method != "POST") {
    return leaf::new_error(Error{ErrorKind::kMethodNotAllowed,
                                 "Completions are asked for by POST.",
                                 NotRun::kTrue});
  }
  BOOST_LEAF_AUTO(body, ParseBody(request.body));
  BOOST_LEAF_ASSIGN(decoded.model, ModelOf(body));
  BOOST_LEAF_ASSIGN(decoded.max_output_tokens, OutputTokensOf(body));
  BOOST_LEAF_ASSIGN(decoded.timeout, TimeAllowedOf(request.headers));
  decoded.prompt_tokens =
      static_cast<int64_t>(request.body.size()) / kBytesPerToken;
  decoded.has_token_counts = true;
  decoded.api_key = KeyOf(request.headers);
  decoded.method = std::move(request.method);
  decoded.host = std::string(request.headers.Get("Host"));
  decoded.target = std::move(request.target);
  decoded.path = std::move(request.path);
  decoded.last_event_id = std::string(request.headers.Get(kLastEvent));
  decoded.headers = EndToEndHeaders(request.headers, {kKey, kDeadline, kId});
  decoded.body = std::move(request.body);
  return decoded;
}

}  // namespace

std::optional<ServingRequest> CompletionsCodec::DecodeRequest(
    HttpRequest request, Error* error) const {
  RequestId id = RequestIdOf(request);
  if (id.empty()) {
    id = RequestId(RandomHex(kIdBytes));
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ServingRequest>> {
        BOOST_LEAF_AUTO(decoded, Decode(std::move(request)));
        decoded.id = id;
        return std::optional<ServingRequest>(std::move(decoded));
      },
      [&](const Error& it) -> std::optional<ServingRequest> {
        *error = it;
        return std::nullopt;
      },
      [&]() -> std::optional<ServingRequest> {
        *error = {ErrorKind::kInternal, "The request could not be read.",
                  NotRun::kTrue};
        return std::nullopt;
      });
}

RequestId CompletionsCodec::RequestIdOf(const HttpRequest& request) const {
  return RequestId(std::string(request.headers.Get(kId)));
}

void CompletionsCodec::EncodeCall(const ServingRequest& request,
                                  const UpstreamCallOptions& instructions,
                                  HttpCall* call) const {
  upstreams_->EncodeCall(request, instructions, call);
}

ResponseInfo CompletionsCodec::DecodeResponse(
    const ServingRequest& request, int status,
    const HttpHeaders& headers) const {
  ResponseInfo facts = upstreams_->DecodeResponse(request, status, headers);
  facts.forward.Add(kId, request.id.str());
  return facts;
}

HttpResponse CompletionsCodec::EncodeError(const Error& error,
                                           const RequestId& request,
                                           Millis retry_after) const {
  HttpResponse response = ErrorResponse(error, request.str());
  if (retry_after > Millis(0) && response.headers.Get("Retry-After").empty()) {
    response.headers.Add("Retry-After",
                         fmt::format("{:.0f}", retry_after.seconds() + 1));
  }
  return response;
}

}  // namespace bilberrypitch
