// Starts the processes of a deployment and sends requests to them.
#include "deployment.h"

#include <fmt/format.h>

#include <fstream>
#include <stdexcept>

#include "base/base64.h"

namespace bilberrypitch::lab {
namespace {

constexpr int kStartTimeoutMs = 15000;
constexpr char kModel[] = "base";
constexpr char kEngineService[] = "taal";
constexpr char kPlainService[] = "booking";

json::object RouteJson(const char* prefix, const char* kind, int attempts,
                       const char* service, int timeout_ms) {
  return {{"name", std::string(prefix)},
          {"host", Deployment::kHost},
          {"prefix", std::string(prefix)},
          {"kind", kind},
          {"attempts", attempts},
          {"timeoutMs", timeout_ms},
          {"goalMs", 1000},
          {"service", service}};
}

json::array RoutesJson(const OperatorConfig& config) {
  int ms = config.timeout_ms;
  json::array routes;
  routes.push_back(RouteJson("/once/", "non_idempotent", 1, kPlainService, ms));
  if (config.has_read_route) {
    routes.push_back(RouteJson("/read/", "idempotent", 3, kPlainService, ms));
  }
  json::object hours = RouteJson("/hours/", "idempotent", 3, kPlainService, ms);
  hours["public"] = true;
  routes.push_back(std::move(hours));
  routes.push_back(RouteJson("/v1/", "idempotent", 3, kEngineService, ms));
  routes.push_back(RouteJson("/ask/", "idempotent", 3, kEngineService, ms));
  json::object stream = RouteJson("/stream/", "stream", 1, kEngineService, ms);
  stream["gapAimMs"] = 1000;
  routes.push_back(std::move(stream));
  json::object resume = RouteJson("/resume/", "stream", 3, kEngineService, ms);
  resume["gapAimMs"] = 1000;
  resume["canResume"] = true;
  routes.push_back(std::move(resume));
  return routes;
}

json::array ServicesJson(const OperatorConfig& config) {
  json::object model{{"name", kModel},
                     {"weightsMb", 1000},
                     {"loadS", 2},
                     {"adapters", 100},
                     {"adapterMb", 10}};
  json::object engine{
      {"capacity", 8},     {"kvTokens", 100000},
      {"weightsMb", 2000}, {"adapterSlots", config.adapter_slots},
      {"loadsPerS", 1},    {"models", json::array{model}}};
  return {json::object{{"name", kPlainService}},
          json::object{{"name", kEngineService}, {"engine", engine}}};
}

std::string ConfigJson(const OperatorConfig& config) {
  json::array workspaces;
  for (const WorkspaceConfig& workspace : config.workspaces) {
    json::array keys;
    for (const std::string& key : workspace.keys) {
      keys.push_back(json::value(key));
    }
    workspaces.push_back(json::object{{"name", workspace.name},
                                      {"apiKeys", std::move(keys)},
                                      {"ratePerS", workspace.rate_per_s},
                                      {"burst", workspace.burst}});
  }
  return json::serialize(json::object{
      {"version", config.version},
      {"routes", RoutesJson(config)},
      {"services", ServicesJson(config)},
      {"limits", json::object{{"bodyBytes", config.body_bytes},
                              {"headerBytes", config.header_bytes}}},
      {"tenants", std::move(workspaces)}});
}

}  // namespace

Deployment::Deployment(ProgramPaths paths)
    : paths_(std::move(paths)), client_(2) {}

std::string Deployment::PortOf(const std::string& name) const {
  return std::to_string(ports_.at(name));
}

std::string Deployment::Address(const std::string& port_name) const {
  return "127.0.0.1:" + PortOf(port_name);
}

void Deployment::StartStore() {
  ports_["store"] = processes_.ReservePort();
  processes_.Start("store", {paths_.lab, "store", "--port", PortOf("store")});
  auto is_up = [&] {
    return Call("store", "GET", "/lab/facts", "").status == 200;
  };
  if (!ProcessGroup::WaitUntil(kStartTimeoutMs, is_up)) {
    throw std::runtime_error("the store did not start");
  }
}

void Deployment::StartUpstream(const std::string& name,
                               const UpstreamOptions& options) {
  ports_[name] = processes_.ReservePort();
  std::vector<std::string> args = {
      paths_.lab,
      "upstream",
      "--id",
      name,
      "--service",
      options.is_engine ? kEngineService : kPlainService,
      "--zone",
      options.zone,
      "--port",
      PortOf(name),
      "--store",
      Address("store"),
      "--adapter-slots",
      std::to_string(options.adapter_slots),
      "--batch-slots",
      std::to_string(options.batch_slots),
      "--step-ms",
      std::to_string(options.step_ms),
      "--load-ms",
      std::to_string(options.load_ms)};
  if (options.is_engine) {
    args.insert(args.end(), {"--model", kModel});
  }
  if (options.use_relay) {
    StartRelay("relay-" + name, name);
    args.insert(args.end(), {"--public-port", PortOf("relay-" + name)});
  }
  processes_.Start(name, std::move(args));
  upstreams_.push_back(name);
  auto is_up = [&] {
    return Call(name, "GET", "/lab/facts", "").status == 200;
  };
  if (!ProcessGroup::WaitUntil(kStartTimeoutMs, is_up)) {
    throw std::runtime_error("upstream did not start: " + name + "\n" +
                             processes_.ReadLog(name));
  }
}

void Deployment::StartRelay(const std::string& name,
                            const std::string& target) {
  std::string control = name + "/control";
  ports_[name] = processes_.ReservePort();
  ports_[control] = processes_.ReservePort();
  processes_.Start(
      name, {paths_.lab, "relay", "--port", PortOf(name), "--target-port",
             PortOf(target), "--control-port", PortOf(control)});
  auto is_up = [&] {
    return Call(control, "POST", "/lab/faults", "{}").status == 200;
  };
  if (!ProcessGroup::WaitUntil(kStartTimeoutMs, is_up)) {
    throw std::runtime_error("relay did not start: " + name);
  }
}

void Deployment::SetRelayMode(const std::string& target,
                              const std::string& mode) {
  SetFaults("relay-" + target + "/control", {{"mode", mode}});
}

std::string Deployment::BootFileText(const std::string& name,
                                     const std::string& zone,
                                     const std::string& store) {
  return fmt::format(
      "node={}\nip=127.0.0.1\nzone={}\nzones.a=r\nzones.b=r\n"
      "listen.front={}\nlisten.ready={}\nportRange={},{}\n"
      "bootstrap=true\nplatform.addr={}\nplatform.ttlMinMs=500\n"
      "platform.writesPerS=1000\nplatform.readsPerS=1000\n"
      "limits.memoryMb={}\nlimits.maxFds={}\nbeatMs=300\n"
      "bounds.drainMs=2000\nbounds.applyMs=2000\nbounds.revokeMs=5000\n"
      "bounds.strictRevoke=true\nbounds.graceS=8\nbounds.leaseMs=3000\n"
      "bounds.fencing=true\nbounds.version_ms=5000\nbounds.retryRatio=0.2\n"
      "bounds.retrySlack=50\nbounds.retryWindowS=10\nbounds.quotaOver=0.1\n"
      "bounds.quotaSlack=2\nbounds.quotaWindowS=8\n",
      name, zone, Address(name), Address(name + "/ready"),
      PortOf(name + "/peer"), PortOf(name + "/peer"), Address(store),
      machine_limits_.memory_mb, machine_limits_.max_descriptors);
}

void Deployment::StartInstance(const std::string& name, const std::string& zone,
                               bool use_store_relay) {
  for (const char* suffix : {"", "/ready", "/peer", "/completions"}) {
    ports_[name + suffix] = processes_.ReservePort();
  }
  std::string store = "store";
  if (use_store_relay) {
    store = "relay-store-" + name;
    StartRelay(store, "store");
  }
  std::string boot_path = processes_.directory() + "/" + name + ".conf";
  std::ofstream(boot_path) << BootFileText(name, zone, store);
  std::string settings_path = processes_.directory() + "/" + name + ".json";
  std::ofstream(settings_path) << json::serialize(
      json::object{{"log_level", "info"},
                   {"completions_address", Address(name + "/completions")}});
  processes_.Start(name, {paths_.gateway, "serve", "--boot", boot_path,
                          "--settings", settings_path});
  instances_.push_back(name);
}

void Deployment::WriteStoreItem(const std::string& key,
                                const std::string& value) {
  Call("store", "POST", "/lab/write",
       json::serialize(json::object{{"key", key}, {"value", ToBase64(value)}}));
}

void Deployment::WriteConfig(const OperatorConfig& config) {
  WriteStoreItem("op/config", ConfigJson(config));
}

void Deployment::WriteRequiredVersion(const std::string& adapter,
                                      int64_t version) {
  WriteStoreItem(
      fmt::format("op/version/{}.{}", kModel, adapter),
      json::serialize(json::object{
          {"model", kModel}, {"adapter", adapter}, {"version", version}}));
}

bool Deployment::IsReady(const std::string& instance) {
  return Call(instance + "/ready", "GET", "/readyz", "").status == 200;
}

void Deployment::WaitUntilReady(const std::string& instance) {
  if (!ProcessGroup::WaitUntil(kStartTimeoutMs,
                               [&] { return IsReady(instance); })) {
    throw std::runtime_error(instance + " is not ready\n" +
                             processes_.ReadLog(instance));
  }
}

CallOutcome Deployment::SendRequest(const std::string& instance,
                                    const CallerRequest& request) {
  HttpCall call;
  call.method = "POST";
  call.address = Address(instance);
  call.target = request.path;
  call.body = request.body;
  call.dedicated_connection = true;
  call.headers.Add("Host", kHost);
  call.headers.Add("Request-Id", fmt::format("r{}", next_request_id_++));
  call.headers.Add("Deadline-Ms", std::to_string(request.timeout_ms));
  call.headers.Add("Tokens", fmt::format("10,{}", request.tokens));
  if (!request.key.empty()) {
    call.headers.Add("Authorization", "Token " + request.key);
  }
  if (!request.adapter.empty()) {
    call.headers.Add("Model", fmt::format("{}/{}", kModel, request.adapter));
  }
  if (!request.last_event_id.empty()) {
    call.headers.Add("Last-Event-Id", request.last_event_id);
  }
  if (request.padding_bytes > 0) {
    call.headers.Add("X-Padding", std::string(request.padding_bytes, 'x'));
  }
  return client_.Run(std::move(call));
}

CallOutcome Deployment::SendCompletion(const std::string& instance,
                                       const std::string& key,
                                       const std::string& adapter) {
  HttpCall call;
  call.method = "POST";
  call.address = Address(instance + "/completions");
  call.target = "/v1/chat/completions";
  call.dedicated_connection = true;
  call.headers.Add("Host", kHost);
  call.headers.Add("Authorization", "Bearer " + key);
  call.headers.Add("X-Deadline-Ms", "6000");
  call.body = json::serialize(
      json::object{{"model", fmt::format("{}/{}", kModel, adapter)},
                   {"max_tokens", 3},
                   {"messages", json::array()}});
  return client_.Run(std::move(call));
}

CallOutcome Deployment::Call(const std::string& port_name,
                             const std::string& method,
                             const std::string& target,
                             const std::string& body) {
  HttpCall call;
  call.method = method;
  call.address = Address(port_name);
  call.target = target;
  call.body = body;
  call.dedicated_connection = true;
  return client_.Run(std::move(call));
}

void Deployment::SetFaults(const std::string& name,
                           const json::object& faults) {
  Call(name, "POST", "/lab/faults", json::serialize(faults));
}

json::object Deployment::GetStats(const std::string& name) {
  return ParseJsonObject(Call(name, "GET", "/lab/facts", "").body);
}

int64_t Deployment::SumCounters(const std::string& counter) {
  int64_t sum = 0;
  for (const std::string& upstream : upstreams_) {
    if (processes_.IsRunning(upstream)) {
      sum += IntOr(GetStats(upstream), counter, 0);
    }
  }
  return sum;
}

double Deployment::MetricValue(const std::string& instance,
                               const std::string& name) {
  std::string page =
      "\n" + Call(instance + "/ready", "GET", "/metrics", "").body;
  std::string line_start = "\nbilberrypitch_" + name + " ";
  size_t position = page.find(line_start);
  return position == std::string::npos
             ? 0
             : std::strtod(page.c_str() + position + line_start.size(),
                           nullptr);
}

}  // namespace bilberrypitch::lab
