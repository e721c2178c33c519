// One entry instance: its listeners, what it knows of the cluster, and the
// requests that it serves.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "serving/instance_settings.h"
#include "serving/store_record.h"

namespace bilberrypitch {

class ClusterStore;
class ApiCodec;
class EngineApi;
class EventLoop;
class EventLoopHttpClient;

// What the instance needs of its surroundings. All outlive it.
struct GatewayDeps {
  EventLoop* loop = nullptr;
  EventLoopHttpClient* client = nullptr;  // For requests to upstreams.
  ClusterStore* store = nullptr;
  EngineApi* engines = nullptr;
  const ApiCodec* codec = nullptr;
  // A second edge with a listener of its own. Null: none.
  const ApiCodec* completions_codec = nullptr;
  std::string completions_address;  // IP:port of that edge.
  StoreRecordDecoder decode_record;
};

// On the loop's thread only.
class Gateway {
 public:
  // Binds its listeners; throws std::exception when that fails.
  Gateway(const InstanceSettings& settings, GatewayDeps ports);
  ~Gateway();

  // Turns unready, ends what is open and calls `done`, at the latest before
  // the platform would kill the process.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
