// Callers' connections and requests.
#include "gateway/caller_frontend.h"

#include <optional>

#include "base/log.h"
#include "gateway/serving_state.h"
#include "serving/api_codec.h"
#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

// The balancer takes an instance out after two misses, one a second.
constexpr Millis kNoticedByBalancer{2600};
// Before the platform's kill.
constexpr Millis kStopMargin{700};
constexpr Millis kStopCheck{50};
// For the last answers to leave.
constexpr Millis kFlushTime{150};
constexpr Millis kStoppingRetry{50};
// Longer than any limit that a configuration states for callers.
constexpr Millis kCallerIdle{120 * 1000};
// Numbers of one server's connections; each server has a range of its own.
constexpr uint64_t kConnectionsPerServer = uint64_t{1} << 48;

}  // namespace

CallerFrontend::CallerFrontend(EventLoop* loop, ServingState* state)
    : loop_(loop), state_(state), stop_timer_(loop) {}

CallerFrontend::~CallerFrontend() {
  for (const auto& it : servers_) {
    it->Stop();
  }
}

void CallerFrontend::Listen(const std::string& address,
                            const RequestDeps* deps) {
  std::optional<Address> parsed = ParseAddress(address);
  HttpServerOptions options;
  options.bind_ip = parsed->ip;
  options.port = parsed->port;
  options.loop = loop_;
  options.first_connection_id = kConnectionsPerServer * servers_.size();
  options.max_body_bytes = CallerLimits().body_bytes;
  options.max_header_bytes = CallerLimits().header_bytes;
  options.idle_timeout = kCallerIdle;
  options.on_connection_closed = [this](uint64_t connection) {
    OnCallerClosed(connection);
  };
  servers_.push_back(std::make_unique<HttpServer>(
      options,
      [this, deps](HttpRequest request, std::shared_ptr<Responder> responder) {
        OnRequest(*deps, std::move(request), std::move(responder));
      }));
}

void CallerFrontend::SetLimits(const CallerLimits& limits) {
  for (const auto& it : servers_) {
    it->SetLimits(limits.header_bytes, limits.body_bytes);
  }
}

void CallerFrontend::OnRequest(const RequestDeps& deps, HttpRequest request,
                               std::shared_ptr<Responder> responder) {
  uint64_t connection = request.connection_id;
  RequestId id = deps.codec->RequestIdOf(request);
  Error error;
  if (state_->stopping && EventLoop::Now() - stop_begun_ > kNoticedByBalancer) {
    // Who still comes here keeps an old connection: it is to use another.
    error = {ErrorKind::kStopping, "This instance is stopping.", NotRun::kTrue};
    Refuse(*deps.codec, error, id, kStoppingRetry, responder.get());
    return;
  }
  std::optional<ServingRequest> decoded =
      deps.codec->DecodeRequest(std::move(request), &error);
  if (!decoded) {
    Refuse(*deps.codec, error, id, Millis(0), responder.get());
    return;
  }
  auto run = std::make_shared<RequestHandler>(&deps, std::move(*decoded),
                                              std::move(responder), connection);
  active_.emplace(connection, run);
  run->Start();
}

void CallerFrontend::Refuse(const ApiCodec& codec, const Error& error,
                            const RequestId& id, Millis retry_after,
                            Responder* responder) {
  ++state_->counters.refused;
  LogInfo("request", "Refused id={} kind={} detail={}", id.str(),
          ErrorInfoFor(error.kind).name, error.detail);
  HttpResponse response = codec.EncodeError(error, id, retry_after);
  response.close_connection = state_->stopping;
  responder->Send(std::move(response));
}

void CallerFrontend::OnRequestEnded(uint64_t connection) {
  // Called from within the run: it goes after this turn of the loop.
  loop_->Post([this, connection] {
    auto [from, to] = active_.equal_range(connection);
    for (auto it = from; it != to;) {
      it = it->second->finished() ? active_.erase(it) : std::next(it);
    }
  });
}

void CallerFrontend::OnCallerClosed(uint64_t connection) {
  loop_->Post([this, connection] {
    std::vector<std::shared_ptr<RequestHandler>> left;
    auto [from, to] = active_.equal_range(connection);
    for (auto it = from; it != to; ++it) {
      left.push_back(it->second);
    }
    for (const auto& run : left) {
      run->OnCallerDisconnected();
    }
  });
}

std::vector<std::shared_ptr<RequestHandler>> CallerFrontend::open_requests()
    const {
  std::vector<std::shared_ptr<RequestHandler>> runs;
  runs.reserve(active_.size());
  for (const auto& [connection, run] : active_) {
    runs.push_back(run);
  }
  return runs;
}

void CallerFrontend::StartShutdown(std::function<void()> done) {
  stop_begun_ = EventLoop::Now();
  stop_done_ = std::move(done);
  LogInfo("gateway", "Stopping with {} open requests.", active_.size());
  CheckStop();
}

void CallerFrontend::CheckStop() {
  Millis spent = EventLoop::Now() - stop_begun_;
  Millis grace = state_->settings.bounds.shutdown_grace - kStopMargin;
  bool done = spent >= kNoticedByBalancer && active_.empty();
  if (!done && spent < grace) {
    stop_timer_.Start(kStopCheck, [this] { CheckStop(); });
    return;
  }
  LogInfo("gateway", "Stopped after {} ms with {} open requests.",
          spent.count(), active_.size());
  for (const auto& run : open_requests()) {
    run->OnShutdown();
  }
  stop_timer_.Start(kFlushTime, [this] { stop_done_(); });
}

}  // namespace bilberrypitch
