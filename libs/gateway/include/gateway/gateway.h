// One gateway instance: its listeners, its view of the cluster, and the
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

// The dependencies of a gateway. All objects that it points to outlive it.
struct GatewayDeps {
  EventLoop* loop = nullptr;
  EventLoopHttpClient* client = nullptr;  // For requests to upstreams.
  ClusterStore* store = nullptr;
  EngineApi* engines = nullptr;
  const ApiCodec* codec = nullptr;
  // Codec of the completions API, which has its own listener. Null: disabled.
  const ApiCodec* completions_codec = nullptr;
  std::string completions_address;  // IP:port of that listener.
  StoreRecordDecoder decode_record;
};

// Must be used on the event loop's thread only.
class Gateway {
 public:
  // Binds the listeners. Throws std::exception if that fails.
  Gateway(const InstanceSettings& settings, GatewayDeps deps);
  ~Gateway();

  // Reports the instance as not ready, lets open requests finish, ends those
  // that remain, and calls `done` before the platform would kill the process.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
