// Implements HttpClient with worker threads that each run an event loop and an
// EventLoopHttpClient.
#include "transport/http_client.h"

#include <atomic>
#include <future>
#include <thread>

#include "base/check.h"
#include "base/hash.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {

class HttpClient::Worker {
 public:
  Worker() : client_(std::make_unique<EventLoopHttpClient>(&loop_)) {
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~Worker() {
    // The client is destroyed on the worker's thread, after the calls that were
    // posted earlier have started.
    loop_.Post([this] {
      client_->CancelAll();  // Calls `on_done`, which unblocks Run.
      client_.reset();
      loop_.Stop();
    });
    thread_.join();
  }

  void Start(CallId id, HttpCall call) {
    auto shared_call = std::make_shared<HttpCall>(std::move(call));
    loop_.Post([this, id, shared_call] {
      client_->Start(id, std::move(*shared_call));
    });
  }

  void Cancel(CallId id) {
    loop_.Post([this, id] { client_->Cancel(id); });
  }

 private:
  EventLoop loop_;
  std::unique_ptr<EventLoopHttpClient> client_;
  std::thread thread_;
};

HttpClient::HttpClient(size_t workers) {
  BP_CHECK(workers > 0, "an HTTP client needs at least one worker");
  for (size_t i = 0; i < workers; ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
}

HttpClient::~HttpClient() = default;

CallId HttpClient::Start(HttpCall call) {
  static std::atomic<uint64_t> next_sequence = 1;
  // Calls to the same address share a worker and therefore its connections.
  size_t worker_index = StableHash(call.address) % workers_.size();
  CallId id = next_sequence.fetch_add(1) * workers_.size() + worker_index;
  workers_[worker_index]->Start(id, std::move(call));
  return id;
}

void HttpClient::Cancel(CallId id) {
  workers_[id % workers_.size()]->Cancel(id);
}

CallOutcome HttpClient::Run(HttpCall call) {
  auto promise = std::make_shared<std::promise<CallOutcome>>();
  std::future<CallOutcome> future = promise->get_future();
  call.on_done = [promise](CallOutcome outcome) {
    promise->set_value(std::move(outcome));
  };
  Start(std::move(call));
  return future.get();
}

}  // namespace bilberrypitch
