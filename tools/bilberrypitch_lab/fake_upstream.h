// A fake of an upstream of the platform: a plain service, or an engine
// with one base model and slots for adapters. It writes its entry to the
// store, runs requests in steps of a batch, carries out orders, and counts
// what only an upstream can see.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab_server.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"
#include "transport/timer.h"

namespace bilberrypitch::lab {

struct FakeUpstreamOptions {
  std::string id;
  std::string service;
  std::string zone;
  uint16_t port = 0;
  uint16_t public_port = 0;  // Port in the entry; 0: `port`.
  std::string store;         // IP:port.
  std::string model;         // Empty: a plain service.
  size_t adapter_slots = 4;
  size_t batch_slots = 8;
  size_t queue_length = 32;
  int step_ms = 5;  // One token for each running request.
  int load_ms = 100;
  int heartbeat_ms = 300;
  int drain_ms = 2000;
};

// POST /lab/faults sets the members of Faults, and with `drain` marks the entry
// as draining while the upstream keeps serving; GET /lab/facts reports what
// happened. Requests under /stream/ and /resume/ are answered event by event.
// Lives on the thread of its event loop.
class FakeUpstream {
 public:
  FakeUpstream(EventLoop* loop, FakeUpstreamOptions options);
  ~FakeUpstream();

  // Marks the entry as draining, serves for another `drain_ms`, removes the
  // entry and calls `done`.
  void Drain(std::function<void()> done);

 private:
  // A waiting or running request.
  struct RequestState {
    HttpRequest request;
    std::string adapter;
    int64_t tokens_left = 0;
    int64_t tokens_made = 0;
    bool is_stream = false;
    bool started = false;
    std::shared_ptr<Responder> responder;
  };
  // An adapter that takes up a slot.
  struct LoadedAdapter {
    int64_t version = 1;
    Millis ready_at;              // Loading until this time.
    bool unload_pending = false;  // Unloaded once no request uses it.
  };
  struct Faults {
    std::string crash_on;      // Running a body with it ends the process.
    bool wrong_id = false;     // Responses name another request.
    bool truncate = false;     // Streams are aborted after two tokens.
    bool lose_orders = false;  // Orders are executed without a response.
    bool refuse = false;       // Requests are rejected as not run.
  };
  struct Counters {
    int64_t completions = 0;
    int64_t cancelled = 0;
    int64_t misdirected = 0;
    int64_t loads = 0;
    int64_t unloads = 0;
    int64_t unloads_in_use = 0;
    int64_t credentials_seen = 0;
    int64_t orders_refused = 0;
    int64_t hasty_holders = 0;  // New holder within kTakeoverDelay.
    int64_t runs_twice = 0;     // Repeated runs of an id; no streams.
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);
  void EnqueueRequest(HttpRequest request,
                      std::shared_ptr<Responder> responder);
  HttpResponse HandleOrder(const json::object& order);
  HttpResponse LoadAdapter(const json::object& order);
  HttpResponse UnloadAdapter(const json::object& order);
  void RecordOrder(const json::object& order);
  json::array ModelsJson() const;
  json::object ReportJson() const;
  json::object CountersJson() const;
  void SetFaults(const json::object& object);
  bool IsAdapterInUse(const std::string& adapter) const;
  void RunStep();
  bool AdvanceRequest(RequestState* state);
  void FinishRequest(RequestState* state);
  void OnConnectionClosed(uint64_t connection);
  void Heartbeat();
  void PostToStore(const char* target, const json::object& body);

  EventLoop* const loop_;
  const FakeUpstreamOptions options_;
  const int64_t started_ms_;  // Unix time.
  EventLoopHttpClient client_;
  std::map<std::string, LoadedAdapter> adapters_;  // By adapter name.
  std::list<RequestState> waiting_;
  std::list<RequestState> running_;
  std::map<std::string, int64_t> run_counts_;  // By request body.
  std::set<std::string> started_ids_;          // Request ids, without streams.
  int64_t order_count_ = 0;
  int64_t highest_fence_ = 0;
  std::string last_holder_;
  Millis last_order_at_;
  bool draining_ = false;
  Faults faults_;
  Counters counters_;
  Timer step_timer_;
  Timer heartbeat_timer_;
  Timer drain_timer_;
  std::list<std::shared_ptr<Responder>> unanswered_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
