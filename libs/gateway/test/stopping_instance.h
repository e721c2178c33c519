// An instance on a loop and a thread of its own. It stops as the program does:
// when the gateway is done, the loop stops, and every connection is closed.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>

#include "fake_store.h"
#include "gateway/gateway.h"
#include "platform/engine_client.h"
#include "platform/request_codec.h"
#include "platform/store_records.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {

class StoppingInstance {
 public:
  // `fill_store` puts what the instance reads at its start.
  StoppingInstance(InstanceSettings settings,
                   const std::function<void(FakeStore*)>& fill_store)
      : settings_(std::move(settings)) {
    thread_ = std::thread([this, fill_store] { Run(fill_store); });
    ready_.get_future().wait();
  }

  ~StoppingInstance() {
    Post([this] { loop_->Stop(); });
    thread_.join();
  }

  // Changes the store of the instance.
  void ChangeStore(std::function<void(FakeStore*)> change) {
    Post([this, change = std::move(change)] { change(store_); });
  }

  // Does what the program does on a signal to stop.
  void Stop() {
    Post([this] { gateway_->Stop([this] { loop_->Stop(); }); });
  }

  const std::string& address() const { return settings_.caller_address; }
  const std::string& ready_address() const { return settings_.ready_address; }
  // All connections are closed; nothing listens.
  bool gone() const { return gone_; }

 private:
  void Run(const std::function<void(FakeStore*)>& fill_store) {
    {
      EventLoop loop;
      FakeStore store(&loop);
      fill_store(&store);
      EventLoopHttpClient client(&loop);
      EventLoopHttpClient control(&loop);
      platform::EngineClient engines(&control);
      platform::RequestCodec codec;
      GatewayDeps deps;
      deps.loop = &loop;
      deps.client = &client;
      deps.store = &store;
      deps.engines = &engines;
      deps.codec = &codec;
      deps.decode_record = platform::DecodeStoreRecord;
      Gateway gateway(settings_, deps);
      SetRunning(&loop, &store, &gateway);
      ready_.set_value();
      loop.Run();
      SetRunning(nullptr, nullptr, nullptr);
    }
    gone_ = true;
  }

  void SetRunning(EventLoop* loop, FakeStore* store, Gateway* gateway) {
    std::lock_guard lock(mutex_);
    loop_ = loop;
    store_ = store;
    gateway_ = gateway;
  }

  // Without effect once the loop has stopped.
  void Post(std::function<void()> task) {
    std::lock_guard lock(mutex_);
    if (loop_ != nullptr) {
      loop_->Post(std::move(task));
    }
  }

  const InstanceSettings settings_;
  std::mutex mutex_;  // Guards the three below; null while the loop is stopped.
  EventLoop* loop_ = nullptr;
  FakeStore* store_ = nullptr;
  Gateway* gateway_ = nullptr;
  std::promise<void> ready_;
  std::atomic<bool> gone_ = false;
  std::thread thread_;
};

}  // namespace bilberrypitch
