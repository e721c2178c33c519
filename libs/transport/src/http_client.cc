// Worker threads, each with a loop and its client.
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
    // The client ends on its own thread, after all that was added before.
    loop_.Post([this] {
      client_->CancelAll();  // Who waits for an answer is told.
      client_.reset();
      loop_.Stop();
    });
    thread_.join();
  }

  void Add(CallId id, HttpCall call) {
    auto shared = std::make_shared<HttpCall>(std::move(call));
    loop_.Post([this, id, shared] { client_->Start(id, std::move(*shared)); });
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
  BP_CHECK(workers > 0, "a client has a worker");
  for (size_t i = 0; i < workers; ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
}

HttpClient::~HttpClient() = default;

CallId HttpClient::Start(HttpCall call) {
  static std::atomic<uint64_t> next = 1;
  // Calls to one address share a worker and so its connections.
  size_t index = StableHash(call.address) % workers_.size();
  CallId id = next.fetch_add(1) * workers_.size() + index;
  workers_[index]->Add(id, std::move(call));
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
