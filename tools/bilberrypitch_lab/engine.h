// A stand-in for a model engine: OpenAI-style completions, the published LoRA
// orders, a metrics page, continuous batching in steps, and faults that a test
// switches on by POST /lab/faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "lab_server.h"

namespace bilberrypitch::lab {

struct EngineOptions {
  std::string name;
  uint16_t port = 0;
  size_t adapter_slots = 4;
  size_t batch_slots = 8;
  int step_ms = 5;  // One token for each running sequence.
  int load_ms = 250;
  bool checks_fencing = false;
};

// Runs from construction to destruction. GET /lab/facts tells what happened,
// among it the broken promises that only an engine can see.
class Engine {
 public:
  explicit Engine(EngineOptions options);
  ~Engine();

 private:
  struct Sequence {
    std::string model;
    std::string request_id;
    int64_t tokens_left = 0;
    int64_t tokens_made = 0;
    bool stream = false;
    int priority = 0;
    std::shared_ptr<Responder> responder;
    std::shared_ptr<std::atomic<bool>> caller_gone;
  };
  struct Load {
    std::string name;
    int64_t ready_at_ms = 0;
    std::shared_ptr<Responder> responder;
  };
  struct Faults {
    std::string crash_on_text;  // A prompt with it ends the process.
    bool fail_loads = false;
    bool lose_order_answers = false;
    bool answer_wrong_model = false;
    bool cross_request_ids = false;
    bool stop_mid_stream = false;
    int64_t extra_order_delay_ms = 0;
  };
  struct Facts {
    int64_t completions = 0;
    int64_t tokens = 0;
    int64_t steps = 0;
    int64_t filled_slots = 0;
    int64_t adapters_in_batches = 0;
    int64_t loads = 0;
    int64_t unloads = 0;
    int64_t evicted_while_serving = 0;
    int64_t credentials_seen = 0;
    int64_t refused_not_loaded = 0;
    int64_t cancelled = 0;
    int64_t stale_orders_refused = 0;
    int64_t most_loads_in_flight = 0;
  };

  void Handle(HttpRequest request, std::shared_ptr<Responder> responder);
  void StartCompletion(const HttpRequest& request, bool chat,
                       std::shared_ptr<Responder> responder);
  void StartLoad(const HttpRequest& request,
                 std::shared_ptr<Responder> responder);
  void Unload(const HttpRequest& request, std::shared_ptr<Responder> responder);
  bool RefuseStaleOrder(const HttpRequest& request, Responder& responder);
  void SetFaults(const json::object& object);
  json::value FactsJson();
  json::value ModelsJson();
  std::string MetricsText();
  void Loop();
  void FinishLoads(int64_t now_ms);
  void Step();
  void EmitToken(Sequence* it);
  void Finish(Sequence* it);
  json::object ChunkJson(const Sequence& it, bool last) const;

  const EngineOptions options_;
  std::mutex lock_;                          // Guards all below but the thread.
  std::map<std::string, int64_t> adapters_;  // Loaded names; last use.
  std::list<Load> loads_;
  std::list<Sequence> waiting_;
  std::list<Sequence> running_;
  uint64_t highest_fence_ = 0;
  Faults faults_;
  Facts facts_;
  bool stopping_ = false;
  std::thread thread_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace bilberrypitch::lab
