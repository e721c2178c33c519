// The callers' port.
#include "node/caller_api.h"

#include "base/hash.h"
#include "config/catalog.h"
#include "config/keys.h"
#include "membership/pause_detector.h"
#include "node/fleet_service.h"
#include "node/metrics.h"
#include "node/service_api.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicePrefix = "/services/";
constexpr size_t kRequestIdBytes = 12;

bool IsCompletion(const std::string& path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

}  // namespace

CallerApi::CallerApi(const NodeContext& context, FleetService* fleet,
                     ModelApi* models, ServiceApi* services)
    : context_(context), fleet_(fleet), models_(models), services_(services) {}

void CallerApi::Refuse(Responder& responder, const RequestId& id,
                       ErrorKind kind, std::string detail) {
  context_.metrics->Add("refused_total",
                        "kind=\"" + std::string(AnswerFor(kind).name) + "\"");
  responder.Send(
      ErrorResponse({kind, std::move(detail), NotRun::kTrue}, id.str()));
}

bool CallerApi::Authenticate(const HttpRequest& request, const Catalog& catalog,
                             Caller* caller, std::string* presented) const {
  std::string_view header = request.headers.Get("Authorization");
  if (header.substr(0, kBearer.size()) != kBearer) {
    return false;
  }
  std::string_view clear = header.substr(kBearer.size());
  caller->workspace = catalog.Authenticate(clear);
  PresentedKey key;
  if (caller->workspace.empty() || !ParseKey(clear, &key)) {
    return false;
  }
  caller->key_id = std::string(key.id);
  *presented = std::string(clear);
  return true;
}

void CallerApi::Handle(HttpRequest request,
                       std::shared_ptr<Responder> responder) {
  RequestId id(RandomHex(kRequestIdBytes));
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  if (catalog == nullptr || !fleet_->Trusted()) {
    Refuse(*responder, id, ErrorKind::kUpstreamUnavailable,
           "This instance has no confirmed document yet.");
    return;
  }
  if (request.path.rfind(kServicePrefix, 0) == 0) {
    HandleService(request, id, *catalog, std::move(responder));
    return;
  }
  bool completion = IsCompletion(request.path);
  if (!completion && request.path != "/v1/models") {
    Refuse(*responder, id, ErrorKind::kNotFound, "No such path.");
    return;
  }
  if (request.method != (completion ? "POST" : "GET")) {
    Refuse(*responder, id, ErrorKind::kMethodNotAllowed,
           "The path does not take this method.");
    return;
  }
  Caller caller;
  std::string presented;
  if (!Authenticate(request, *catalog, &caller, &presented)) {
    Refuse(*responder, id, ErrorKind::kUnauthenticated,
           "A valid key is needed.");
    return;
  }
  if (request.body.find(presented) != std::string::npos) {
    Refuse(*responder, id, ErrorKind::kMalformedRequest,
           "The body holds the key; no upstream may see it.");
    return;
  }
  if (completion) {
    models_->Complete(request, id, caller, std::move(responder), BootTimeNow());
  } else {
    responder->Send(models_->ListModels(caller));
  }
}

void CallerApi::HandleService(const HttpRequest& request, const RequestId& id,
                              const Catalog& catalog,
                              std::shared_ptr<Responder> responder) {
  std::string rest = request.path.substr(kServicePrefix.size());
  size_t slash = rest.find('/');
  std::string name = rest.substr(0, slash);
  rest = slash == std::string::npos ? "/" : rest.substr(slash);
  const RouteEntry* route = catalog.FindRoute(name);
  if (route == nullptr) {
    Refuse(*responder, id, ErrorKind::kNotFound, "No such service.");
    return;
  }
  Caller caller;
  std::string presented;
  bool known = Authenticate(request, catalog, &caller, &presented);
  if (!route->open && !known) {
    Refuse(*responder, id, ErrorKind::kUnauthenticated,
           "A valid key is needed.");
    return;
  }
  bool leaks = known && (request.body.find(presented) != std::string::npos ||
                         request.query.find(presented) != std::string::npos ||
                         rest.find(presented) != std::string::npos);
  if (leaks) {
    Refuse(*responder, id, ErrorKind::kMalformedRequest,
           "The request holds the key; no upstream may see it.");
    return;
  }
  services_->Call(request, id, caller, *route, rest, std::move(responder),
                  BootTimeNow());
}

}  // namespace bilberrypitch
