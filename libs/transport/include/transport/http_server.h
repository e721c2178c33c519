// An HTTP server on a pool of threads (RESTinio, hidden in the source).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/strong.h"
#include "transport/http_message.h"
#include "transport/responder.h"

namespace bilberrypitch {

struct HttpServerOptions {
  std::string bind_ip;
  uint16_t port = 0;
  size_t threads = 2;
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  Millis handle_limit{3600 * 1000};  // Longest time until an answer ends.
  Millis write_limit{10 * 1000};     // Longest time for one write to a caller.
};

// Runs from construction to Stop. Requests over the sizes are answered with
// the error kinds for that and don't reach the handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

  // Throws std::exception when the port can't be bound.
  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  // Closes all connections. Idempotent.
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
