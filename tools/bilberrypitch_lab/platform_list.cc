// The platform list's stand-in.
#include "platform_list.h"

#include <chrono>

namespace bilberrypitch::lab {
namespace {

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

PlatformList::PlatformList(uint16_t port, int64_t lag_ms) : lag_ms_(lag_ms) {
  versions_.push_back({NowMs() - lag_ms, "{\"instances\":[]}"});
  server_ = std::make_unique<HttpServer>(
      LabServerOptions(port),
      [this](HttpRequest request, std::shared_ptr<Responder> responder) {
        Handle(std::move(request), std::move(responder));
      });
}

PlatformList::~PlatformList() { server_->Stop(); }

void PlatformList::Handle(HttpRequest request,
                          std::shared_ptr<Responder> responder) {
  std::lock_guard lock(lock_);
  if (request.path == "/lab/instances") {
    versions_.push_back({NowMs(), request.body});
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path == "/lab/faults") {
    out_ = BoolOr(ParseObject(request.body), "out", false);
    responder->Send(JsonResponse(200, json::object()));
    return;
  }
  if (request.path != "/instances" || out_) {
    responder->Send(JsonResponse(out_ ? 503 : 404, json::object()));
    return;
  }
  int64_t seen = NowMs() - lag_ms_;
  while (versions_.size() > 1 && versions_[1].since_ms <= seen) {
    versions_.pop_front();
  }
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = versions_.front().body;
  responder->Send(std::move(response));
}

}  // namespace bilberrypitch::lab
