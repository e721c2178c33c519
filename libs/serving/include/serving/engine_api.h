// Orders to engines and their reports. Callbacks come on the loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "serving/ids.h"
#include "serving/upstream_entry.h"

namespace bilberrypitch {

enum class OrderAction : uint8_t { kLoad, kUnload };

struct EngineOrder {
  UpstreamId engine;
  std::string address;
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  int64_t version = 0;        // Of an adapter to load; 0: the newest.
  std::string holder;         // Machine that gives the order.
  int64_t fencing_token = 0;  // Fencing token of the ownership.
  int64_t expected_order_count =
      0;  // Void unless the engine accepted just so many.
};

enum class OrderOutcome : uint8_t {
  kStarted,      // Being carried out.
  kAlreadyDone,  // Stands already.
  kConflict,     // Another order is under way, or the count differs.
  kFenced,       // A higher fencing token was seen.
  kWrongEngine,  // Another engine has the address.
  kInvalid,
  kNotSent,
  kUnknown,  // May be carried out, also later.
};

class EngineApi {
 public:
  virtual ~EngineApi() = default;
  virtual void SendOrder(EngineOrder order,
                         std::function<void(OrderOutcome)> done) = 0;
  // `ok` is false without a report.
  virtual void FetchReport(const UpstreamId& engine, const std::string& address,
                           std::function<void(bool ok, EngineReport)> done) = 0;
};

}  // namespace bilberrypitch
