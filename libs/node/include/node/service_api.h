// Calls to plain services: routes from the document, retries only where a call
// may be repeated, and claims for calls with an Idempotency-Key.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "config/catalog.h"
#include "dispatch/retry_policy.h"
#include "node/model_api.h"
#include "node/node_context.h"
#include "transport/http_client.h"
#include "transport/responder.h"

namespace bilberrypitch {

class LimitService;
class UpstreamTable;
enum class StoreStatus : uint8_t;

// Thread-safe.
class ServiceApi {
 public:
  ServiceApi(const NodeContext& context, UpstreamTable* upstreams,
             LimitService* limits);

  // `caller.workspace` is empty on an open route. `rest` is the path below
  // the route.
  void Call(const HttpRequest& request, const RequestId& id,
            const Caller& caller, const RouteEntry& route,
            const std::string& rest, std::shared_ptr<Responder> responder,
            Millis now);
  void Close() { closed_ = true; }
  size_t in_flight() const { return in_flight_.load(); }

 private:
  // One call from admission to its answer.
  struct CallState {
    HttpRequest request;
    RequestId id;
    WorkspaceId workspace;
    RouteEntry route;
    std::string target;
    std::shared_ptr<Responder> responder;
    Millis deadline;
    int attempts = 0;
    bool ran_before = false;
    bool fresh = false;
    std::string claim_key;  // Empty: no Idempotency-Key.
    std::string claim_id;
    std::string fingerprint;
    UpstreamId last_upstream;
  };
  using CallPtr = std::shared_ptr<CallState>;

  void Claim(const CallPtr& call);
  void OnClaimed(const CallPtr& call, StoreStatus status);
  void SettleClaim(const CallPtr& call, bool may_be_own);
  void ReleaseClaim(const CallPtr& call);
  void RecordAnswer(const CallPtr& call, const CallOutcome& outcome);
  void Attempt(const CallPtr& call);
  void OnOutcome(const CallPtr& call, const UpstreamId& upstream,
                 const CallOutcome& outcome);
  void Answer(const CallPtr& call, const CallOutcome& outcome);
  void Fail(const CallPtr& call, const Error& error);

  const NodeContext context_;
  UpstreamTable* const upstreams_;
  LimitService* const limits_;
  std::mutex lock_;  // Guards the budget and the generator.
  RetryBudget retries_;
  std::atomic<uint64_t> draw_ = 1;
  std::atomic<size_t> in_flight_ = 0;
  std::atomic<bool> closed_ = false;
};

}  // namespace bilberrypitch
