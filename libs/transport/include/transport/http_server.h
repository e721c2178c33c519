// An HTTP server on a pool of threads or on an event loop (RESTinio, hidden in
// the source).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/strong.h"
#include "transport/http_message.h"
#include "transport/responder.h"

namespace bilberrypitch {

class EventLoop;

struct HttpServerOptions {
  std::string bind_ip;
  uint16_t port = 0;
  size_t threads = 2;
  // When set, the server runs on this loop and starts no threads; the handler
  // and `on_connection_closed` are called there. The loop outlives the server.
  EventLoop* loop = nullptr;
  // Numbers of connections begin here, so that two servers' differ.
  uint64_t first_connection_id = 0;
  // Called with the number of a connection that has ended, whoever closed it.
  std::function<void(uint64_t connection)> on_connection_closed;
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  Millis response_timeout{3600 * 1000};  // Longest time until an answer ends.
  Millis write_timeout{10 * 1000};  // Longest time for one write to a caller.
  Millis idle_timeout{60 * 1000};   // Longest time between two requests.
};

// Runs from construction to Stop. Requests over the sizes are answered with
// the error kinds for that and don't reach the handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

  // Throws std::exception when the port can't be bound.
  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  // Sizes from now on. On a loop: call it on its thread.
  void SetLimits(size_t max_header_bytes, size_t max_body_bytes);
  // Closes all connections. Idempotent. On a loop: call it on its thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// An answer that carries an error in the shape that all refusals have.
struct Error;
HttpResponse ErrorResponse(const Error& error, const std::string& request_id);
// The JSON body of such an answer.
std::string ErrorBody(const Error& error, const std::string& request_id);

}  // namespace bilberrypitch
