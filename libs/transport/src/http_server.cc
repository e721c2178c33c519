// Implements HttpServer with RESTinio. No other file includes RESTinio.
#include "transport/http_server.h"

#include <fmt/format.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "transport/event_loop.h"
#include "transport/write_queue.h"

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
  response.headers.Add("X-Request-Id", request_id);
  if (info.retry_after_s > 0) {
    response.headers.Add("Retry-After", std::to_string(info.retry_after_s));
  }
  response.body = ErrorBody(error, request_id);
  return response;
}

namespace {

// A body over the configured limit is still read up to this size, so that it
// gets a proper error response; beyond it the connection is closed.
constexpr size_t kMaxReadBodyBytes = 64 << 20;
// The largest request target and the largest value of a header field.
constexpr size_t kMaxFieldBytes = 64 << 10;
// With 1, the end of a connection would not be noticed while a request is being
// handled.
constexpr size_t kMaxPipelinedRequests = 4;

// Reports closed connections.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::function<void(uint64_t)> on_closed)
      : on_closed_(std::move(on_closed)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      on_closed_(notice.connection_id());
    }
  }

 private:
  const std::function<void(uint64_t)> on_closed_;
};

struct Traits : restinio::default_traits_t {
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using connection_state_listener_t = ConnectionListener;
};

using Server = restinio::http_server_t<Traits>;

std::string ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

restinio::http_status_line_t StatusLine(int status) {
  return restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<uint16_t>(status)},
      ReasonPhrase(status)};
}

// Held for each request until its response is written, or can't be. The server
// holds one more.
using WriteToken = std::shared_ptr<const bool>;

restinio::write_status_cb_t HoldUntilWritten(WriteToken token) {
  return [token = std::move(token)](const restinio::asio_ns::error_code&) {};
}

struct ReceivedRequest {
  restinio::request_handle_t handle;
  Millis at;  // When it was received.
};

// Lets the server handle one request of a connection at a time, so that none
// is handled whose response the connection would no longer carry.
class PipelinedRequests {
 public:
  // Returns whether the request may be handled now; otherwise it is kept.
  bool Add(const ReceivedRequest& request) {
    std::lock_guard lock(lock_);
    auto [it, is_first] = waiting_.try_emplace(request.handle->connection_id());
    if (!is_first) {
      it->second.push_back(request);
    }
    return is_first;
  }

  bool HasWaiting(uint64_t connection_id) {
    std::lock_guard lock(lock_);
    auto it = waiting_.find(connection_id);
    return it != waiting_.end() && !it->second.empty();
  }

  // The request that is handled has its response. Returns the next one, if
  // there is one. `closes`: the response closes the connection, so that the
  // rest is dropped, and what is still read there.
  std::optional<ReceivedRequest> OnResponded(uint64_t connection_id,
                                             bool closes) {
    std::lock_guard lock(lock_);
    auto it = waiting_.find(connection_id);
    if (it == waiting_.end()) {
      return std::nullopt;
    }
    if (closes) {
      it->second.clear();
      return std::nullopt;
    }
    if (it->second.empty()) {
      waiting_.erase(it);
      return std::nullopt;
    }
    ReceivedRequest next = std::move(it->second.front());
    it->second.pop_front();
    return next;
  }

  void OnClosed(uint64_t connection_id) {
    std::lock_guard lock(lock_);
    waiting_.erase(connection_id);
  }

 private:
  std::mutex lock_;
  // By connection. A connection has an entry while one of its requests is
  // handled, and from its last response until it is closed.
  std::unordered_map<uint64_t, std::deque<ReceivedRequest>> waiting_;
};

class RestinioResponder
    : public Responder,
      public std::enable_shared_from_this<RestinioResponder> {
 public:
  // `may_close`: whether no other request of the connection waits.
  // `on_responded`: the response has ended; `closes`: it closes the connection.
  RestinioResponder(restinio::request_handle_t request, WriteToken token,
                    std::function<bool()> may_close,
                    std::function<void(bool closes)> on_responded)
      : request_(std::move(request)),
        write_token_(std::move(token)),
        may_close_(std::move(may_close)),
        on_responded_(std::move(on_responded)) {}

  ~RestinioResponder() override {
    if (request_ != nullptr && !stream_) {
      Error error{ErrorKind::kInternal, "The request was dropped.",
                  NotRun::kUnknown};
      Send(ErrorResponse(error, ""));
    } else if (stream_) {
      AbortStream();
    }
  }

  void Send(HttpResponse response) override {
    std::lock_guard lock(lock_);
    if (request_ == nullptr) {
      return;
    }
    auto builder =
        request_->create_response<restinio::user_controlled_output_t>(
            StatusLine(response.status));
    for (const HttpHeader& field : response.headers.fields()) {
      builder.append_header(field.name, field.value);
    }
    const bool closes = response.close_connection && may_close_();
    if (closes) {
      builder.connection_close();
    }
    builder.set_content_length(response.body.size());
    if (request_->header().method() != restinio::http_method_head()) {
      builder.set_body(std::move(response.body));
    }
    builder.done(HoldUntilWritten(std::move(write_token_)));
    request_.reset();
    on_responded_(closes);
  }

  void StartStream(int status, const HttpHeaders& headers) override {
    std::lock_guard lock(lock_);
    if (request_ == nullptr) {
      return;
    }
    // The chunk framing is written here, because RESTinio's chunked builder can
    // end a response only as a complete one. The connection closes after the
    // response, so a client can recognize an incomplete response.
    stream_ = std::make_unique<Stream>(
        request_->create_response<restinio::user_controlled_output_t>(
            StatusLine(status)));
    for (const HttpHeader& field : headers.fields()) {
      stream_->append_header(field.name, field.value);
    }
    stream_->append_header("Transfer-Encoding", "chunked");
    stream_->connection_close();
    stream_->flush();
    request_.reset();
  }

  void Write(std::string data) override {
    std::lock_guard lock(lock_);
    if (stream_ && !data.empty()) {
      StartWrite(queue_.Push(std::move(data)));
    }
  }

  size_t unwritten_bytes() const override {
    std::lock_guard lock(lock_);
    return queue_.unwritten_bytes();
  }

  void OnceWritten(std::function<void()> done) override {
    std::lock_guard lock(lock_);
    on_all_written_ = std::move(done);
  }

  void EndStream() override {
    std::lock_guard lock(lock_);
    if (stream_) {
      AppendChunk(queue_.TakeWaiting());
      stream_->append_body("0\r\n\r\n");
      CloseStream();
    }
  }

  void AbortStream() override {
    std::lock_guard lock(lock_);
    if (stream_) {
      AppendChunk(queue_.TakeWaiting());
      CloseStream();
    }
  }

 private:
  using Stream =
      restinio::response_builder_t<restinio::user_controlled_output_t>;

  void AppendChunk(const std::string& data) {
    if (!data.empty()) {
      stream_->append_body(fmt::format("{:x}\r\n{}\r\n", data.size(), data));
    }
  }

  void StartWrite(const std::string& data) {
    if (data.empty()) {
      return;
    }
    AppendChunk(data);
    stream_->flush([weak = weak_from_this()](
                       const restinio::asio_ns::error_code& ec) noexcept {
      if (auto self = weak.lock()) {
        self->OnWritten(!ec);
      }
    });
  }

  // After a failed write nothing more is written; the server reports that the
  // connection is closed.
  void OnWritten(bool ok) {
    std::unique_lock lock(lock_);
    if (!stream_ || !ok) {
      return;
    }
    StartWrite(queue_.OnWritten());
    if (queue_.unwritten_bytes() == 0 && on_all_written_) {
      auto done = std::exchange(on_all_written_, nullptr);
      lock.unlock();
      done();
    }
  }

  void CloseStream() {
    on_all_written_ = nullptr;
    stream_->done(HoldUntilWritten(std::move(write_token_)));
    stream_.reset();
    on_responded_(true);
  }

  // RESTinio may report a failed write from within the call that starts it.
  mutable std::recursive_mutex lock_;
  restinio::request_handle_t request_;  // Null once a response has started.
  std::unique_ptr<Stream> stream_;      // Set while a stream is open.
  WriteQueue queue_;                    // Of the stream.
  WriteToken write_token_;
  const std::function<bool()> may_close_;
  const std::function<void(bool closes)> on_responded_;
  std::function<void()> on_all_written_;
};

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
        max_body_bytes_(options_.max_body_bytes) {
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
    max_body_bytes_ = max_body_bytes;
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
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(kMaxFieldBytes)
                                      .max_field_value_size(kMaxFieldBytes)
                                      .max_body_size(kMaxReadBodyBytes))
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
        .request_handler([this](restinio::request_handle_t request) {
          ReceivedRequest received{std::move(request), EventLoop::Now()};
          if (pipelined_->Add(received)) {
            Handle(std::move(received));
          }
          return restinio::request_accepted();
        });
  }

  std::shared_ptr<RestinioResponder> MakeResponder(
      restinio::request_handle_t request) {
    const uint64_t id = request->connection_id();
    std::weak_ptr<PipelinedRequests> pipelined = pipelined_;
    return std::make_shared<RestinioResponder>(
        std::move(request), write_token_,
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
    auto responder = MakeResponder(std::move(from.handle));
    if (request.body.size() > max_body_bytes_) {
      Reject(*responder, ErrorKind::kBodyTooLarge,
             fmt::format("The body exceeds {} bytes.", max_body_bytes_));
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
  std::atomic<size_t> max_body_bytes_;
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
