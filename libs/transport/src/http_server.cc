// Implements HttpServer with RESTinio.
#include "transport/http_server.h"

#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <restinio/all.hpp>
#include <thread>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "caller_socket.h"
#include "pipelined_requests.h"
#include "request_head_check.h"
#include "restinio_responder.h"
#include "transport/event_loop.h"

namespace bilberrypitch {

std::string ErrorBody(const Error& error, const std::string& request_id) {
  const ErrorKindInfo& info = ErrorInfoFor(error.kind);
  json::object body;
  body["message"] = error.detail;
  body["type"] = info.name;
  body["code"] = info.name;
  body["request_id"] = request_id;
  body["not_run"] = NotRunName(error.not_run);
  return json::serialize(json::object{{"error", std::move(body)}});
}

HttpResponse ErrorResponse(const Error& error, const std::string& request_id) {
  const ErrorKindInfo& info = ErrorInfoFor(error.kind);
  HttpResponse response;
  response.status = info.http_status;
  response.headers.Add("Content-Type", "application/json");
  if (!request_id.empty()) {
    response.headers.Add("X-Request-Id", request_id);
  }
  if (info.retry_after_s > 0) {
    response.headers.Add("Retry-After", std::to_string(info.retry_after_s));
  }
  response.body = ErrorBody(error, request_id);
  return response;
}

namespace {

// With 1, the end of a connection would not be noticed while a request is being
// handled.
constexpr size_t kMaxPipelinedRequests = 4;

// Reports accepted and closed connections.
class ConnectionListener {
 public:
  ConnectionListener(std::function<void(uint64_t)> on_accepted,
                     std::function<void(uint64_t)> on_closed)
      : on_accepted_(std::move(on_accepted)),
        on_closed_(std::move(on_closed)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    if (restinio::holds_alternative<accepted_t>(notice.cause())) {
      on_accepted_(notice.connection_id());
    } else if (restinio::holds_alternative<closed_t>(notice.cause())) {
      on_closed_(notice.connection_id());
    }
  }

 private:
  const std::function<void(uint64_t)> on_accepted_;
  const std::function<void(uint64_t)> on_closed_;
};

struct Traits : restinio::default_traits_t {
  using stream_socket_t = CallerSocket;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using connection_state_listener_t = ConnectionListener;
};

using Server = restinio::http_server_t<Traits>;

HttpRequest ToHttpRequest(const restinio::request_handle_t& from) {
  HttpRequest request;
  const auto& header = from->header();
  request.method = header.method().c_str();
  request.target = header.request_target();
  request.path = std::string(header.path());
  request.query = std::string(header.query());
  header.for_each_field([&](const auto& field) {
    request.headers.Add(std::string(field.name()), std::string(field.value()));
  });
  request.body = from->body();
  request.connection_id = from->connection_id();
  return request;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        max_header_bytes_(options_.max_header_bytes),
        max_body_bytes_(
            std::make_shared<std::atomic<size_t>>(options_.max_body_bytes)) {
    auto& context = options_.loop != nullptr ? options_.loop->context()
                                             : own_loop_.context();
    server_ = std::make_unique<Server>(
        restinio::external_io_context(context),
        [this](restinio::server_settings_t<Traits>& settings) {
          Configure(settings);
        });
    server_->open_sync();
    size_t threads = options_.loop != nullptr ? 0 : options_.threads;
    for (size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { own_loop_.Run(); });
    }
  }

  ~Impl() { Stop(); }

  void SetLimits(size_t max_header_bytes, size_t max_body_bytes) {
    max_header_bytes_ = max_header_bytes;
    *max_body_bytes_ = max_body_bytes;
  }

  size_t unfinished_responses() const {
    return static_cast<size_t>(write_token_.use_count()) - 1;
  }

  void Stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    if (options_.loop != nullptr) {
      server_->close_sync();
      return;
    }
    own_loop_.Post([this] {
      server_->close_sync();
      own_loop_.Stop();
    });
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

 private:
  static std::chrono::milliseconds ToChrono(Millis duration) {
    return std::chrono::milliseconds(duration.count());
  }

  void Configure(restinio::server_settings_t<Traits>& settings) {
    settings.address(options_.bind_ip)
        .port(options_.port)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(kRequestSizeLimits.field_bytes)
                .max_field_value_size(kRequestSizeLimits.field_bytes)
                .max_body_size(kRequestSizeLimits.body_bytes))
        .max_pipelined_requests(kMaxPipelinedRequests)
        .read_next_http_message_timelimit(ToChrono(options_.idle_timeout))
        .write_http_response_timelimit(ToChrono(options_.write_timeout))
        .handle_request_timeout(ToChrono(options_.response_timeout))
        .socket_options_setter([](auto& options) {
          options.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .acceptor_options_setter([](auto& options) {
          options.set_option(
              restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
        })
        .connection_state_listener(std::make_shared<ConnectionListener>(
            [pipelined = std::weak_ptr(pipelined_), guard = options_.guard,
             max_body_bytes = max_body_bytes_](uint64_t id) {
              AnnouncedSocket()->Join(guard, max_body_bytes);
              if (auto it = pipelined.lock()) {
                it->OnAccepted(id, AnnouncedSocket()->inspector());
              }
            },
            [pipelined = std::weak_ptr(pipelined_),
             on_closed = options_.on_connection_closed,
             first_id = options_.first_connection_id](uint64_t id) {
              if (auto it = pipelined.lock()) {
                it->OnClosed(id);
              }
              if (on_closed) {
                on_closed(first_id + id);
              }
            }))
        .request_handler([this, pipelined = std::weak_ptr(pipelined_)](
                             restinio::request_handle_t request) {
          // A connection may outlive the server on a loop that goes on.
          if (pipelined.expired()) {
            return restinio::request_rejected();
          }
          ReceivedRequest received{std::move(request), EventLoop::Now(), {}};
          if (pipelined_->Add(&received)) {
            Handle(std::move(received));
          }
          return restinio::request_accepted();
        });
  }

  std::shared_ptr<RestinioResponder> MakeResponder(ReceivedRequest received) {
    const uint64_t id = received.handle->connection_id();
    std::weak_ptr<PipelinedRequests> pipelined = pipelined_;
    InspectedRequest& inspected = received.inspected;
    return std::make_shared<RestinioResponder>(
        std::move(received.handle), inspected.is_http_1_0,
        WriteTokens{write_token_, std::move(inspected.write_token),
                    std::move(inspected.held), nullptr},
        std::move(inspected.account),
        [id, pipelined] {
          auto it = pipelined.lock();
          return it == nullptr || !it->HasWaiting(id);
        },
        [this, id, pipelined](bool closes) {
          if (auto it = pipelined.lock()) {
            HandleLater(it->OnResponded(id, closes));
          }
        });
  }

  // Not within the call that responds to the request before.
  void HandleLater(std::optional<ReceivedRequest> next) {
    if (!next) {
      return;
    }
    EventLoop* loop = options_.loop != nullptr ? options_.loop : &own_loop_;
    std::weak_ptr<PipelinedRequests> pipelined = pipelined_;
    loop->Post([this, pipelined, next = std::move(next)] {
      if (!pipelined.expired()) {
        Handle(*next);
      }
    });
  }

  void Handle(ReceivedRequest from) {
    HttpRequest request = ToHttpRequest(from.handle);
    request.received_at = from.at;
    request.connection_id += options_.first_connection_id;
    std::string fault = FaultOfRequestHead(request.headers, from.inspected);
    auto responder = MakeResponder(std::move(from));
    if (!fault.empty()) {
      // What follows may be a part of this request to others.
      responder->SendAndClose(ErrorResponse(
          {ErrorKind::kMalformedRequest, std::move(fault), NotRun::kTrue}, ""));
    } else if (request.body.size() > *max_body_bytes_) {
      Reject(
          *responder, ErrorKind::kBodyTooLarge,
          fmt::format("The body exceeds {} bytes.", max_body_bytes_->load()));
    } else if (request.headers.ByteSize() > max_header_bytes_) {
      Reject(
          *responder, ErrorKind::kHeadersTooLarge,
          fmt::format("The header fields exceed {} bytes.", max_header_bytes_));
    } else {
      handler_(std::move(request), std::move(responder));
    }
  }

  static void Reject(Responder& responder, ErrorKind kind, std::string detail) {
    responder.Send(ErrorResponse({kind, std::move(detail), NotRun::kTrue}, ""));
  }

  const HttpServerOptions options_;
  const Handler handler_;
  std::atomic<size_t> max_header_bytes_;
  // Shared with the connections.
  const std::shared_ptr<std::atomic<size_t>> max_body_bytes_;
  std::atomic<bool> stopped_ = false;
  EventLoop own_loop_;  // Unused when the options provide a loop.
  const std::shared_ptr<PipelinedRequests> pipelined_ =
      std::make_shared<PipelinedRequests>();
  const WriteToken write_token_ = std::make_shared<const bool>(true);
  std::unique_ptr<Server> server_;
  std::vector<std::thread> threads_;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::SetLimits(size_t max_header_bytes, size_t max_body_bytes) {
  impl_->SetLimits(max_header_bytes, max_body_bytes);
}

size_t HttpServer::unfinished_responses() const {
  return impl_->unfinished_responses();
}

void HttpServer::Stop() { impl_->Stop(); }

}  // namespace bilberrypitch
