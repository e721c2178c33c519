// The operators' port.
#include "node/operator_api.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <chrono>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"
#include "config/document_check.h"
#include "config/keys.h"
#include "node/metrics.h"
#include "schema/document.pb.h"
#include "schema/settings.pb.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kBearer = "Bearer ";
constexpr char kGenerationHeader[] = "X-Generation";

leaf::error_id Refuse(ErrorKind kind, std::string detail) {
  return leaf::new_error(Error{kind, std::move(detail), NotRun::kTrue});
}

HttpResponse JsonAnswer(std::string body) {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

HttpResponse TextAnswer(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(body);
  return response;
}

leaf::result<ChangeAuthor> AuthorOf(const HttpRequest& request) {
  ChangeAuthor author{std::string(request.headers.Get("X-Author")),
                      std::string(request.headers.Get("X-Reason"))};
  if (author.author.empty() || author.reason.empty()) {
    return Refuse(ErrorKind::kMalformedRequest,
                  "X-Author and X-Reason are needed for the audit trail.");
  }
  return author;
}

HttpResponse AcceptedAnswer(const AcceptedChange& accepted,
                            json::object extra) {
  json::array changes;
  for (const std::string& it : accepted.changes) {
    changes.push_back(json::value(it));
  }
  extra["generation"] = accepted.generation;
  extra["changes"] = std::move(changes);
  return JsonAnswer(json::serialize(extra));
}

}  // namespace

OperatorApi::OperatorApi(const NodeContext& context,
                         std::function<std::string()> status,
                         std::function<bool()> ready)
    : context_(context),
      status_(std::move(status)),
      ready_(std::move(ready)),
      documents_(context) {}

bool OperatorApi::Allowed(const HttpRequest& request) const {
  const std::string& hash = context_.settings->operator_token_hash();
  if (hash.empty()) {
    return true;
  }
  std::string_view header = request.headers.Get("Authorization");
  return header.substr(0, kBearer.size()) == kBearer &&
         EqualInConstantTime(Sha256Hex(header.substr(kBearer.size())), hash);
}

void OperatorApi::Handle(HttpRequest request,
                         std::shared_ptr<Responder> responder) {
  std::string id = RandomHex(8);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(response, Route(request));
        responder->Send(std::move(response));
        return {};
      },
      [&](const Error& error) { responder->Send(ErrorResponse(error, id)); },
      [&] {
        responder->Send(
            ErrorResponse({ErrorKind::kInternal, "", NotRun::kUnknown}, id));
      });
}

leaf::result<HttpResponse> OperatorApi::Route(const HttpRequest& request) {
  const std::string& path = request.path;
  bool get = request.method == "GET";
  if (path == "/healthz") return TextAnswer(200, "ok\n");
  if (path == "/readyz") {
    bool is_ready = ready_();
    return TextAnswer(is_ready ? 200 : 503,
                      is_ready ? "ready\n" : "not ready\n");
  }
  if (!Allowed(request)) {
    return Refuse(ErrorKind::kUnauthenticated,
                  "The operator's token is needed.");
  }
  if (path == "/metrics") return TextAnswer(200, context_.metrics->Render());
  if (path == "/status") return JsonAnswer(status_());
  if (path == "/document" && get) return GetDocument();
  if (path == "/document" && request.method == "PUT")
    return PutDocument(request);
  if (path == "/keys" && get) return ListKeys();
  if (path == "/keys" && request.method == "POST") return IssueKey(request);
  if (path.rfind("/keys/", 0) == 0 && request.method == "DELETE") {
    return WithdrawKey(request);
  }
  if (path == "/audit" && get) return Audit();
  return Refuse(ErrorKind::kNotFound, "No such path or method.");
}

leaf::result<HttpResponse> OperatorApi::GetDocument() {
  schema::Document document;
  BOOST_LEAF_AUTO(generation, documents_.Read(&document));
  HttpResponse response = JsonAnswer(WriteJson(document, true));
  response.headers.Add(kGenerationHeader, std::to_string(generation));
  return response;
}

leaf::result<HttpResponse> OperatorApi::PutDocument(
    const HttpRequest& request) {
  BOOST_LEAF_AUTO(author, AuthorOf(request));
  std::string_view text = request.headers.Get(kGenerationHeader);
  uint64_t base = 0;
  auto [stop, ec] =
      std::from_chars(text.data(), text.data() + text.size(), base);
  if (ec != std::errc() || stop != text.data() + text.size()) {
    return Refuse(ErrorKind::kMalformedRequest,
                  "X-Generation must name the generation that the change is "
                  "based on (0 for the first).");
  }
  schema::Document document;
  std::vector<FieldError> errors = ReadDocument(request.body, &document);
  if (!errors.empty()) {
    return Refuse(ErrorKind::kInvalidDocument, FormatErrors(errors));
  }
  BOOST_LEAF_AUTO(accepted, documents_.Put(document, base, author));
  LogInfo("audit", "{} accepted generation {}: {}.", author.author,
          accepted.generation, author.reason);
  return AcceptedAnswer(accepted, {});
}

leaf::result<HttpResponse> OperatorApi::IssueKey(const HttpRequest& request) {
  BOOST_LEAF_AUTO(author, AuthorOf(request));
  boost::system::error_code ec;
  json::value body = json::parse(request.body, ec);
  const json::value* workspace =
      !ec && body.is_object() ? body.get_object().if_contains("workspace")
                              : nullptr;
  if (workspace == nullptr || !workspace->is_string()) {
    return Refuse(ErrorKind::kMalformedRequest, "`workspace` is missing.");
  }
  IssuedKey issued = bilberrypitch::IssueKey();
  auto change = [&](schema::Document* document) -> leaf::result<void> {
    schema::Key* key = document->add_keys();
    key->set_id(issued.id);
    key->set_workspace(std::string(workspace->get_string()));
    key->set_salt(issued.salt);
    key->set_hash(issued.hash);
    return {};
  };
  BOOST_LEAF_AUTO(accepted, documents_.Apply(change, author));
  LogInfo("audit", "{} issued key {}: {}.", author.author, issued.id,
          author.reason);
  return AcceptedAnswer(accepted, {{"id", issued.id}, {"key", issued.clear}});
}

leaf::result<HttpResponse> OperatorApi::WithdrawKey(
    const HttpRequest& request) {
  BOOST_LEAF_AUTO(author, AuthorOf(request));
  std::string id = request.path.substr(std::string("/keys/").size());
  auto change = [&](schema::Document* document) -> leaf::result<void> {
    for (schema::Key& it : *document->mutable_keys()) {
      if (it.id() == id) {
        it.set_withdrawn(true);
        return {};
      }
    }
    return Refuse(ErrorKind::kNotFound, "No such key.");
  };
  BOOST_LEAF_AUTO(accepted, documents_.Apply(change, author));
  LogInfo("audit", "{} withdrew key {}: {}.", author.author, id, author.reason);
  return AcceptedAnswer(accepted, {{"id", id}});
}

leaf::result<HttpResponse> OperatorApi::ListKeys() {
  schema::Document document;
  BOOST_LEAF_CHECK(documents_.Read(&document));
  json::array keys;
  for (const schema::Key& it : document.keys()) {
    keys.push_back({{"id", it.id()},
                    {"workspace", it.workspace()},
                    {"withdrawn", it.withdrawn()}});
  }
  return JsonAnswer(json::serialize(json::object{{"keys", std::move(keys)}}));
}

leaf::result<HttpResponse> OperatorApi::Audit() {
  BOOST_LEAF_AUTO(records, documents_.Audit());
  json::array entries;
  for (const schema::AuditRecord& it : records) {
    json::array changes;
    for (const std::string& line : it.changes()) {
      changes.push_back(json::value(line));
    }
    std::chrono::system_clock::time_point at{
        std::chrono::milliseconds(it.accepted_unix_ms())};
    entries.push_back(
        {{"generation", it.generation()},
         {"accepted",
          fmt::format("{:%FT%TZ}",
                      std::chrono::time_point_cast<std::chrono::seconds>(at))},
         {"author", it.author()},
         {"reason", it.reason()},
         {"attempt", it.attempt_id()},
         {"changes", std::move(changes)}});
  }
  return JsonAnswer(
      json::serialize(json::object{{"entries", std::move(entries)}}));
}

}  // namespace bilberrypitch
