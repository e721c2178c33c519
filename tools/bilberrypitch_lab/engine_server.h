// A stand-in for an upstream of the platform: a plain service, or an engine
// with one base model and places for adapters. It writes its entry to the
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

struct EngineOptions {
  std::string id;
  std::string service;
  std::string zone;
  uint16_t port = 0;
  uint16_t public_port = 0;  // Stands in the entry; 0: `port`.
  std::string store;         // IP:port.
  std::string model;         // Empty: a plain service.
  size_t adapter_slots = 4;
  size_t batch_slots = 8;
  size_t queue_length = 32;
  int step_ms = 5;  // One token for each running request.
  int load_ms = 100;
  int beat_ms = 300;
  int drain_ms = 2000;
};

// POST /lab/faults sets what Faults names, and with `drain` lets the entry say
// that the upstream leaves while it serves on; GET /lab/facts tells what
// happened. Requests under /stream/ and /resume/ are answered event by event.
class EngineServer {
 public:
  EngineServer(EventLoop* loop, EngineOptions options);
  ~EngineServer();

  // Says that it leaves, serves on for `drain_ms` and calls `done`.
  void Drain(std::function<void()> done);

 private:
  struct Run {
    HttpRequest request;
    std::string adapter;
    int64_t tokens_left = 0;
    int64_t tokens_made = 0;
    bool stream = false;
    bool started = false;
    std::shared_ptr<Responder> responder;
  };
  struct Place {
    int64_t version = 1;
    Millis ready;          // Being loaded until then.
    bool leaving = false;  // Unloaded when its runs have ended.
  };
  struct Faults {
    std::string crash_on;      // A body with it ends the process when it runs.
    bool wrong_id = false;     // Answers name another request.
    bool truncate = false;     // Streams end in the middle.
    bool lose_orders = false;  // Orders are carried out without an answer.
    bool refuse = false;       // Each request is refused unrun.
  };
  struct Facts {
    int64_t completions = 0;
    int64_t cancelled = 0;
    int64_t misdirected = 0;
    int64_t loads = 0;
    int64_t unloads = 0;
    int64_t unloads_in_use = 0;
    int64_t credentials_seen = 0;
    int64_t orders_refused = 0;
    int64_t hasty_holders = 0;  // Orders of two holders within one turn.
    int64_t runs_twice = 0;     // Of one request id that may run once.
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);
  void StartRun(HttpRequest request, std::shared_ptr<Responder> responder);
  HttpResponse Order(const json::object& order);
  HttpResponse Load(const json::object& order);
  HttpResponse Unload(const json::object& order);
  void CountOrder(const json::object& order);
  json::array ModelsJson() const;
  json::object ReportJson() const;
  json::object FactsJson() const;
  void SetFaults(const json::object& object);
  bool InUse(const std::string& adapter) const;
  void Step();
  bool Advance(Run* it);
  void Finish(Run* it);
  void OnClosed(uint64_t connection);
  void Heartbeat();
  void Write(const char* target, const json::object& body);

  EventLoop* const loop_;
  const EngineOptions options_;
  const int64_t started_ms_;  // Unix time.
  EventLoopHttpClient client_;
  std::map<std::string, Place> places_;  // By name of the adapter.
  std::list<Run> waiting_;
  std::list<Run> running_;
  std::map<std::string, int64_t> runs_;  // By body.
  std::set<std::string> once_;           // Ids of requests that ran.
  int64_t orders_ = 0;
  int64_t highest_fence_ = 0;
  std::string last_holder_;
  Millis last_order_;
  bool draining_ = false;
  Faults faults_;
  Facts facts_;
  Timer step_;
  Timer beat_;
  Timer drain_;
  std::list<std::shared_ptr<Responder>> unanswered_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
