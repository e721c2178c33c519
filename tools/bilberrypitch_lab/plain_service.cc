// The plain service's stand-in.
#include "plain_service.h"

namespace bilberrypitch::lab {

PlainService::PlainService(std::string name, uint16_t port)
    : name_(std::move(name)) {
  server_ = std::make_unique<HttpServer>(
      LabServerOptions(port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
}

PlainService::~PlainService() { server_->Stop(); }

void PlainService::Handle(HttpRequest request,
                          std::shared_ptr<Responder> responder) {
  std::lock_guard lock(lock_);
  if (request.path == "/lab/facts") {
    json::object runs;
    for (const auto& [call, n] : runs_) {
      runs[call] = n;
    }
    responder->Send(JsonResponse(
        200, {{"runs", runs}, {"credentials_seen", credentials_seen_}}));
    return;
  }
  if (request.path == "/lab/faults") {
    status_ = IntOr(ParseObject(request.body), "status", 200);
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (!request.headers.Get("Authorization").empty()) {
    ++credentials_seen_;
  }
  std::string call = request.method + " " + request.path + " " + request.body;
  int64_t n = ++runs_[call];
  HttpResponse response =
      JsonResponse(static_cast<int>(status_), {{"service", name_}, {"run", n}});
  response.headers.Add("X-Request-Id",
                       std::string(request.headers.Get("X-Request-Id")));
  responder->Send(std::move(response));
}

}  // namespace bilberrypitch::lab
