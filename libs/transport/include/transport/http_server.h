// An HTTP server, based on RESTinio, that runs on its own threads or on an
// event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/strong.h"
#include "transport/http_message.h"
#include "transport/responder.h"

namespace bilberrypitch {

class ConnectionGuard;
class EventLoop;

struct HttpServerOptions {
  std::string bind_ip;
  uint16_t port = 0;
  size_t threads = 2;
  // When set, the server runs on this loop and starts no threads; the handler
  // and `on_connection_closed` are called there. Must outlive the server.
  EventLoop* loop = nullptr;
  // Offset of the connection ids, so that the ids of two servers differ.
  uint64_t first_connection_id = 0;
  // Called when a connection has ended, no matter which side closed it. May be
  // empty.
  std::function<void(uint64_t connection_id)> on_connection_closed;
  // When set, its limits apply to the connections of this server. Requires
  // `loop`.
  std::shared_ptr<ConnectionGuard> guard;
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  Millis response_timeout{3600 * 1000};  // Until a response has ended.
  Millis write_timeout{10 * 1000};       // For one write to a client.
  Millis idle_timeout{60 * 1000};        // Between two requests.
};

// Listens from construction until Stop. Requests that exceed `max_body_bytes`
// or `max_header_bytes` get an error response and don't reach the handler; a
// body that is too large ends its connection while it is received.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

  // Throws std::exception when the port can't be bound.
  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  // Changes the size limits for subsequent requests. A server on a loop
  // requires the call on the loop's thread.
  void SetLimits(size_t max_header_bytes, size_t max_body_bytes);
  // Requests whose responses have not ended, or whose connections have not
  // taken them yet.
  size_t unfinished_responses() const;
  // Stops listening and closes all connections. Idempotent. A server on a loop
  // requires the call on the loop's thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct Error;

// Returns an error response in the JSON format that all error responses share.
HttpResponse ErrorResponse(const Error& error, const std::string& request_id);
// Returns the JSON body of such a response.
std::string ErrorBody(const Error& error, const std::string& request_id);

}  // namespace bilberrypitch
