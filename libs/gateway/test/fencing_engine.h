// An engine that checks the fencing tokens of its orders.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "base/json.h"
#include "transport/http_message.h"
#include "transport/responder.h"

namespace bilberrypitch {

// Loads each adapter at once. Rejects an order whose token is lower than one
// that it has seen.
class FencingEngine {
 public:
  void Handle(const HttpRequest& request, Responder* responder) {
    HttpResponse response;
    response.headers.Add("Request-Id",
                         std::string(request.headers.Get("Request-Id")));
    response.headers.Add("Answer-Stamp", "stamp");
    response.body = "answer";
    if (request.path == "/report") {
      response.body = Report();
    } else if (request.path == "/order") {
      response.status = OnOrder(json::parse(request.body).as_object());
    } else if (adapters_.count(AdapterOf(request)) == 0) {
      response.status = kMisdirectedStatus;
    }
    responder->Send(std::move(response));
  }

  std::string Entry(const std::string& address) const {
    return fmt::format(R"({{"service":"llm","addr":"{}","zone":"z",
      "capacity":8,"state":"ready","born":5,"models":{}}})",
                       address, Models());
  }
  int64_t highest_fence() const { return highest_fence_; }
  int rejected_orders() const { return rejected_orders_; }
  // Of the orders after the one that first came with `fence`; the highest
  // number if there is none.
  int64_t lowest_fence_after(int64_t fence) const {
    auto seen = std::find(fences_.begin(), fences_.end(), fence);
    int64_t lowest = std::numeric_limits<int64_t>::max();
    for (; seen != fences_.end(); ++seen) {
      lowest = *seen == fence ? lowest : std::min(lowest, *seen);
    }
    return lowest;
  }

 private:
  static constexpr int kAcceptedStatus = 202;
  static constexpr int kStaleFenceStatus = 412;
  static constexpr int kMisdirectedStatus = 421;

  int OnOrder(const json::object& order) {
    int64_t fence = order.at("fence").to_number<int64_t>();
    fences_.push_back(fence);
    if (fence < highest_fence_) {
      ++rejected_orders_;
      return kStaleFenceStatus;
    }
    highest_fence_ = fence;
    ++accepted_orders_;
    if (order.contains("adapter")) {
      adapters_.insert(std::string(order.at("adapter").as_string()));
    }
    return kAcceptedStatus;
  }
  static std::string AdapterOf(const HttpRequest& request) {
    std::string model(request.headers.Get("Model"));
    return model.substr(model.find('/') + 1);
  }
  std::string Models() const {
    std::string names;
    for (const std::string& name : adapters_) {
      names += (names.empty() ? "\"" : ",\"") + name + "@1\"";
    }
    return R"([{"name":"m","version":1,"adapters":[)" + names + "]}]";
  }
  std::string Report() const {
    return fmt::format(R"({{"phase":"mixed","models":{},"busy":false,
      "seq":{},"queued":0,"active":0,"pending":[]}})",
                       Models(), accepted_orders_);
  }

  std::set<std::string> adapters_;
  std::vector<int64_t> fences_;  // Of all orders.
  int64_t highest_fence_ = 0;
  int accepted_orders_ = 0;
  int rejected_orders_ = 0;
};

}  // namespace bilberrypitch
