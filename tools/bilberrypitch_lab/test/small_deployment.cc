// The deployment of the process tests.
#include "small_deployment.h"

#include <fmt/format.h>

namespace bilberrypitch::lab {

SmallDeployment::SmallDeployment(const SmallOptions& options)
    : Deployment({BP_PRODUCT, BP_LAB}) {
  StartStore();
  for (int i = 0; i < options.engines; ++i) {
    UpstreamShape shape = options.engine;
    shape.zone = i % 2 == 0 ? "a" : "b";
    StartUpstream(fmt::format("engine-{}", i + 1), shape);
  }
  UpstreamShape plain;
  plain.engine = false;
  plain.relayed = options.relay_service;
  StartUpstream("booking", plain);
  config.workspaces = {{"club", {kKey}, options.rate_per_s, options.burst}};
  config.adapter_slots = options.engine.adapter_slots;
  WriteConfig(config);
  StartInstance("entry-1", "a", options.relay_stores);
  StartInstance("entry-2", "a", options.relay_stores);
  StartInstance("entry-3", "b", options.relay_stores);
  for (const std::string& it : instances()) {
    WaitReady(it);
  }
}

CallOutcome SmallDeployment::Send(const std::string& instance,
                                  const std::string& path,
                                  const std::string& body, int deadline_ms) {
  Asked asked;
  asked.path = path;
  asked.key = kKey;
  asked.body = body;
  asked.deadline_ms = deadline_ms;
  return Ask(instance, asked);
}

CallOutcome SmallDeployment::Infer(const std::string& instance,
                                   const std::string& path,
                                   const std::string& adapter, int tokens,
                                   int deadline_ms) {
  Asked asked;
  asked.path = path;
  asked.key = kKey;
  asked.body = "to " + adapter;
  asked.adapter = adapter;
  asked.tokens = tokens;
  asked.deadline_ms = deadline_ms;
  return Ask(instance, asked);
}

bool SmallDeployment::Warm(const std::string& instance,
                           const std::string& adapter) {
  int status = 0;
  bool warm = ProcessGroup::WaitFor(20000, [&] {
    status = Infer(instance, "/ask/warm", adapter, 1).status;
    return status == 200;
  });
  if (!warm) {
    fmt::print("{} was not warm, last status {}\n", adapter, status);
    for (const std::string& it : instances()) {
      fmt::print("log of {}\n{}\n", it, processes().Log(it));
    }
  }
  return warm;
}

int64_t SmallDeployment::Runs(const std::string& upstream,
                              const std::string& body) {
  json::object facts = Facts(upstream);
  const json::value* runs = facts.if_contains("runs");
  if (runs == nullptr || !runs->is_object()) {
    return -1;
  }
  return IntOr(runs->get_object(), body, 0);
}

void SmallDeployment::WriteNextConfig() {
  ++config.version;
  WriteConfig(config);
}

bool IsWhole(const CallOutcome& it) {
  return it.result == CallResult::kComplete && it.status == 200;
}

}  // namespace bilberrypitch::lab
