// The listeners for callers and the requests that are open on them, up to the
// planned stop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/request_handler.h"
#include "transport/timer.h"

namespace bilberrypitch {

class HttpServer;
struct CallerLimits;
struct Error;
struct HttpRequest;

// On the loop's thread only.
class CallerFrontend {
 public:
  CallerFrontend(EventLoop* loop, ServingState* state);
  ~CallerFrontend();

  // Binds `address` (IP:port) for callers of one interface, whose codec is in
  // `deps`; throws std::exception when that fails.
  void Listen(const std::string& address, const RequestDeps* deps);
  void SetLimits(const CallerLimits& limits);
  // A request on the connection has ended.
  void OnRequestEnded(uint64_t connection);
  std::vector<std::shared_ptr<RequestHandler>> open_requests() const;

  // Takes everything until the balancer has noticed, then refuses; ends what is
  // open before the platform would kill the process, and calls `done`.
  void StartShutdown(std::function<void()> done);

 private:
  void OnRequest(const RequestDeps& deps, HttpRequest request,
                 std::shared_ptr<Responder> responder);
  void Refuse(const ApiCodec& codec, const Error& error, const RequestId& id,
              Millis retry_after, Responder* responder);
  void OnCallerClosed(uint64_t connection);
  void CheckStop();

  EventLoop* const loop_;
  ServingState* const state_;
  // By connection; one may carry several requests.
  std::unordered_multimap<uint64_t, std::shared_ptr<RequestHandler>> active_;
  Timer stop_timer_;
  Millis stop_begun_;
  std::function<void()> stop_done_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

}  // namespace bilberrypitch
