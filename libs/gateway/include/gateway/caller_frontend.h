// The listeners for callers, their open requests, and the shutdown of both.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/request_handler.h"
#include "transport/timer.h"

namespace bilberrypitch {

class ConnectionGuard;
class HttpServer;
struct CallerLimits;
struct Error;
struct HttpRequest;

// Accepts requests of callers and owns their handlers.
//
// Must be used on the event loop's thread only.
class CallerFrontend {
 public:
  // `guard` limits what all connections take together.
  CallerFrontend(EventLoop* loop, ServingState* state,
                 std::shared_ptr<ConnectionGuard> guard);
  ~CallerFrontend();

  // Binds `address` (IP:port) for callers of one API, whose codec is in `deps`.
  // `deps` has to outlive this object. Throws std::exception if binding fails.
  void Listen(const std::string& address, const RequestDeps* deps);
  void SetLimits(const CallerLimits& limits);
  // Offset of the ids of connections on which other instances relay requests.
  static constexpr uint64_t kFirstRelayConnectionId = uint64_t{1} << 56;
  // Handles a request that another instance relays, with the caller's target.
  void OnRelayedRequest(const RequestDeps& deps, HttpRequest request,
                        const RelayedTarget& relayed,
                        std::shared_ptr<Responder> responder);
  // A connection of a caller, or of another instance, was closed.
  void OnConnectionClosed(uint64_t connection_id);
  // A request on that connection has ended: its handler is released later, on
  // the event loop.
  void OnRequestEnded(uint64_t connection_id);
  std::vector<std::shared_ptr<RequestHandler>> open_requests() const;

  // Rejects requests that can't be served before the process ends, waits at
  // least until the load balancer has removed this instance, ends the requests
  // that are still open before the platform would kill the process, and then
  // calls `done`.
  void StartShutdown(std::function<void()> done);

 private:
  void OnRequest(const RequestDeps& deps, HttpRequest request,
                 const std::optional<RelayedTarget>& relayed,
                 std::shared_ptr<Responder> responder);
  void Reject(const ApiCodec& codec, const Error& error, const RequestId& id,
              Millis retry_after, Responder* responder);
  void CheckShutdown();
  void CheckFlushed();
  // Responses that are open, or not yet written.
  size_t unfinished_responses() const;

  EventLoop* const loop_;
  ServingState* const state_;
  const std::shared_ptr<ConnectionGuard> guard_;
  // By connection id. A connection can carry several requests.
  std::unordered_multimap<uint64_t, std::shared_ptr<RequestHandler>> handlers_;
  Timer shutdown_timer_;
  bool is_closing_ = false;  // All requests are rejected from now on.
  std::function<void()> on_shutdown_done_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace bilberrypitch
