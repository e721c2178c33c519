// Starts the deployment of the process tests.
#include "small_deployment.h"

#include <fmt/format.h>

namespace bilberrypitch::lab {

SmallDeployment::SmallDeployment(const SmallDeploymentOptions& options)
    : Deployment({BP_PRODUCT, BP_LAB}) {
  StartStore();
  for (int i = 0; i < options.engines; ++i) {
    UpstreamOptions upstream_options = options.engine_options;
    upstream_options.zone = i % 2 == 0 ? "a" : "b";
    StartUpstream(fmt::format("engine-{}", i + 1), upstream_options);
  }
  UpstreamOptions plain_service;
  plain_service.is_engine = false;
  plain_service.use_relay = options.relay_plain_service;
  StartUpstream("booking", plain_service);
  config.workspaces = {{"club", {kKey}, options.rate_per_s, options.burst}};
  config.adapter_slots = options.engine_options.adapter_slots;
  config.body_bytes = options.body_bytes;
  WriteConfig(config);
  SetMachineLimits(options.machine_limits);
  StartInstance("entry-1", "a", options.relay_store_connections);
  StartInstance("entry-2", "a", options.relay_store_connections);
  StartInstance("entry-3", "b", options.relay_store_connections);
  for (const std::string& instance : instances()) {
    WaitUntilReady(instance);
  }
}

CallOutcome SmallDeployment::SendWithKey(const std::string& instance,
                                         const std::string& path,
                                         const std::string& body,
                                         int timeout_ms) {
  CallerRequest request;
  request.path = path;
  request.key = kKey;
  request.body = body;
  request.timeout_ms = timeout_ms;
  return SendRequest(instance, request);
}

CallOutcome SmallDeployment::Infer(const std::string& instance,
                                   const std::string& path,
                                   const std::string& adapter, int tokens,
                                   int timeout_ms) {
  CallerRequest request;
  request.path = path;
  request.key = kKey;
  request.body = "to " + adapter;
  request.adapter = adapter;
  request.tokens = tokens;
  request.timeout_ms = timeout_ms;
  return SendRequest(instance, request);
}

bool SmallDeployment::WaitUntilServed(const std::string& instance,
                                      const std::string& adapter) {
  int status = 0;
  bool served = ProcessGroup::WaitUntil(20000, [&] {
    status = Infer(instance, "/ask/warm", adapter, 1).status;
    return status == 200;
  });
  if (!served) {
    fmt::print("adapter {} was not served in time, last status {}\n", adapter,
               status);
    for (const std::string& name : instances()) {
      fmt::print("log of {}\n{}\n", name, processes().ReadLog(name));
    }
  }
  return served;
}

int64_t SmallDeployment::RunCount(const std::string& upstream,
                                  const std::string& body) {
  json::object stats = GetStats(upstream);
  const json::value* runs = stats.if_contains("runs");
  if (runs == nullptr || !runs->is_object()) {
    return -1;
  }
  return IntOr(runs->get_object(), body, 0);
}

void SmallDeployment::WriteNextConfig() {
  ++config.version;
  WriteConfig(config);
}

bool IsComplete(const CallOutcome& outcome) {
  return outcome.result == CallResult::kComplete && outcome.status == 200;
}

}  // namespace bilberrypitch::lab
