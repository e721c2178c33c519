// Interface for sending orders to engines and fetching their reports.
//
// All callbacks run on the event loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "serving/ids.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

enum class OrderAction : uint8_t { kLoad, kUnload };

// An order to load or unload a base model or an adapter. The engine rejects it
// if a higher fencing token was seen or its count of accepted orders differs.
struct EngineOrder {
  UpstreamId engine;
  std::string address;  // IP:port.
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  int64_t version = 0;        // Of the adapter to load; 0: the newest.
  std::string machine;        // Machine that sends the order.
  int64_t fencing_token = 0;  // From the ownership of the engine.
  // The order is void unless the engine has accepted exactly this many orders.
  int64_t expected_order_count = 0;
};

// The numeric values appear in log lines, so the order of the enumerators must
// not change.
enum class OrderOutcome : uint8_t {
  kStarted,      // Accepted; being carried out.
  kAlreadyDone,  // The engine already is in the requested state.
  kConflict,     // Another order is in progress, or the order count differs.
  kFenced,       // A higher fencing token was seen.
  kWrongEngine,  // Another engine now has this address.
  kInvalid,
  kNotSent,
  kUnknown,  // No response: may be carried out, possibly later.
};

class EngineApi {
 public:
  // A response of the engine to a call that was sent at `sent_at` states that
  // it leaves.
  using LeavingHook = std::function<void(const UpstreamId&, Millis sent_at)>;

  virtual ~EngineApi() = default;
  // Null: nobody is told.
  virtual void SetOnLeaving(LeavingHook hook) = 0;
  virtual void SendOrder(EngineOrder order,
                         std::function<void(OrderOutcome)> done) = 0;
  // Calls `done` with `ok` false if no report could be fetched.
  virtual void FetchReport(const UpstreamId& engine, const std::string& address,
                           std::function<void(bool ok, EngineReport)> done) = 0;
};

}  // namespace bilberrypitch
