// Connections and requests of callers, and their shutdown.
#include "gateway/caller_frontend.h"

#include <algorithm>
#include <optional>

#include "base/log.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/address.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

constexpr Millis kShutdownPollInterval{50};
// Time for requests that have already been sent here to be rejected.
constexpr Millis kFlushDelay{150};
constexpr Millis kStoppingRetryAfter{50};
// Longer than any timeout that a configuration sets for callers.
constexpr Millis kCallerIdleTimeout{120 * 1000};
// Size of a server's range of connection ids. The ranges do not overlap, so
// that an id identifies a connection across all servers.
constexpr uint64_t kConnectionIdsPerServer = uint64_t{1} << 48;

}  // namespace

CallerFrontend::CallerFrontend(EventLoop* loop, ServingState* state,
                               std::shared_ptr<ConnectionGuard> guard)
    : loop_(loop),
      state_(state),
      guard_(std::move(guard)),
      shutdown_timer_(loop) {}

CallerFrontend::~CallerFrontend() {
  for (const auto& server : servers_) {
    server->Stop();
  }
}

void CallerFrontend::Listen(const std::string& address,
                            const RequestDeps* deps) {
  std::optional<Address> parsed = ParseAddress(address);
  HttpServerOptions options;
  options.bind_ip = parsed->ip;
  options.port = parsed->port;
  options.loop = loop_;
  options.guard = guard_;
  options.first_connection_id = kConnectionIdsPerServer * servers_.size();
  options.max_body_bytes = CallerLimits().body_bytes;
  options.max_header_bytes = CallerLimits().header_bytes;
  options.idle_timeout = kCallerIdleTimeout;
  options.on_connection_closed = [this](uint64_t connection_id) {
    OnConnectionClosed(connection_id);
  };
  servers_.push_back(std::make_unique<HttpServer>(
      options,
      [this, deps](HttpRequest request, std::shared_ptr<Responder> responder) {
        OnRequest(*deps, std::move(request), std::nullopt,
                  std::move(responder));
      }));
}

void CallerFrontend::SetLimits(const CallerLimits& limits) {
  guard_->SetMaxBodyBytes(limits.body_bytes);
  for (const auto& server : servers_) {
    server->SetLimits(limits.header_bytes, limits.body_bytes);
  }
}

void CallerFrontend::OnRelayedRequest(const RequestDeps& deps,
                                      HttpRequest request,
                                      const RelayedTarget& relayed,
                                      std::shared_ptr<Responder> responder) {
  request.target = relayed.target;
  request.path = request.target.substr(0, request.target.find('?'));
  OnRequest(deps, std::move(request), relayed, std::move(responder));
}

void CallerFrontend::OnRequest(const RequestDeps& deps, HttpRequest request,
                               const std::optional<RelayedTarget>& relayed,
                               std::shared_ptr<Responder> responder) {
  uint64_t connection_id = request.connection_id;
  Millis received_at = request.received_at;
  RequestId id = deps.codec->RequestIdOf(request);
  Error error;
  if (is_closing_) {
    error = {ErrorKind::kStopping, "This instance is stopping.", NotRun::kTrue};
    Reject(*deps.codec, error, id, kStoppingRetryAfter, responder.get());
    return;
  }
  std::optional<ServingRequest> decoded =
      deps.codec->DecodeRequest(std::move(request), &error);
  if (!decoded) {
    Reject(*deps.codec, error, id, Millis(0), responder.get());
    return;
  }
  auto handler = std::make_shared<RequestHandler>(
      &deps, std::move(*decoded), std::move(responder), connection_id,
      received_at, relayed);
  handlers_.emplace(connection_id, handler);
  handler->Start();
}

void CallerFrontend::Reject(const ApiCodec& codec, const Error& error,
                            const RequestId& id, Millis retry_after,
                            Responder* responder) {
  ++state_->counters.refused;
  LogInfo("request", "Refused id={} kind={} detail={}", id.str(),
          ErrorInfoFor(error.kind).name, error.detail);
  HttpResponse response = codec.EncodeError(error, id, retry_after);
  response.close_connection = state_->stopping;
  responder->Send(std::move(response));
}

void CallerFrontend::OnRequestEnded(uint64_t connection_id) {
  // Called from within the handler, so it is released in a later iteration of
  // the event loop.
  loop_->Post([this, connection_id] {
    auto [from, to] = handlers_.equal_range(connection_id);
    for (auto it = from; it != to;) {
      it = it->second->finished() ? handlers_.erase(it) : std::next(it);
    }
  });
}

void CallerFrontend::OnConnectionClosed(uint64_t connection_id) {
  loop_->Post([this, connection_id] {
    std::vector<std::shared_ptr<RequestHandler>> handlers;
    auto [from, to] = handlers_.equal_range(connection_id);
    for (auto it = from; it != to; ++it) {
      handlers.push_back(it->second);
    }
    for (const auto& handler : handlers) {
      handler->OnCallerDisconnected();
    }
  });
}

std::vector<std::shared_ptr<RequestHandler>> CallerFrontend::open_requests()
    const {
  std::vector<std::shared_ptr<RequestHandler>> handlers;
  handlers.reserve(handlers_.size());
  for (const auto& [connection_id, handler] : handlers_) {
    handlers.push_back(handler);
  }
  return handlers;
}

void CallerFrontend::StartShutdown(std::function<void()> done) {
  state_->shutdown.Start(EventLoop::Now());
  on_shutdown_done_ = std::move(done);
  LogInfo("gateway", "Stopping with {} open requests.", handlers_.size());
  CheckShutdown();
}

void CallerFrontend::CheckShutdown() {
  Millis now = EventLoop::Now();
  for (const auto& handler : open_requests()) {
    handler->EndIfTooLateToSend();
  }
  bool done = state_->shutdown.IsOutOfRotation(now) && handlers_.empty() &&
              unfinished_responses() == 0;
  Millis left = state_->shutdown.requests_end_at() - now;
  if (!done && left > Millis(0)) {
    shutdown_timer_.Start(std::min(left, kShutdownPollInterval),
                          [this] { CheckShutdown(); });
    return;
  }
  is_closing_ = true;
  LogInfo("gateway", "Stops {} ms before its requests have to end, {} open.",
          std::max(Millis(0), left).count(), handlers_.size());
  for (const auto& handler : open_requests()) {
    handler->OnShutdown();
  }
  shutdown_timer_.Start(kFlushDelay, [this] { CheckFlushed(); });
}

size_t CallerFrontend::unfinished_responses() const {
  size_t count = 0;
  for (const auto& server : servers_) {
    count += server->unfinished_responses();
  }
  return count;
}

// Callers that read slowly get the rest of their responses.
void CallerFrontend::CheckFlushed() {
  bool time_left = EventLoop::Now() < state_->shutdown.process_ends_at();
  if (unfinished_responses() > 0 && time_left) {
    shutdown_timer_.Start(kShutdownPollInterval, [this] { CheckFlushed(); });
    return;
  }
  LogInfo("gateway", "Stopped with {} responses that were not read.",
          unfinished_responses());
  on_shutdown_done_();
}

}  // namespace bilberrypitch
