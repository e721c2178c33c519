// A deployment of separate processes.
#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include "schema/document.pb.h"
#include "schema/json_reader.h"

extern char** environ;

namespace bilberrypitch::lab {
namespace {

// Below the range from which connections get their ports.
constexpr uint16_t kFirstPort = 12000;
constexpr uint16_t kPortRange = 18000;
constexpr int kStartMs = 15000;
constexpr int kStopMs = 30000;
constexpr std::chrono::milliseconds kPoll{20};

std::string MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "bp-lab-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

bool PortIsFree(uint16_t port) {
  int it = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool free =
      bind(it, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(it);
  return free;
}

}  // namespace

Deployment::Deployment(ProgramPaths paths)
    : paths_(std::move(paths)),
      folder_(MakeFolder()),
      client_(2),
      next_port_(
          static_cast<uint16_t>(kFirstPort + (getpid() * 97) % kPortRange)),
      document_(std::make_unique<schema::Document>()) {}

Deployment::~Deployment() {
  for (auto& [name, process] : processes_) {
    if (process.running) {
      kill(process.pid, SIGCONT);
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

uint16_t Deployment::FreePort() {
  while (true) {
    ++next_port_;
    if (next_port_ >= kFirstPort + kPortRange) next_port_ = kFirstPort;
    if (PortIsFree(next_port_)) return next_port_;
  }
}

void Deployment::Spawn(const std::string& name) {
  Process& process = processes_[name];
  std::vector<char*> words;
  words.reserve(process.arguments.size() + 1);
  for (std::string& it : process.arguments) words.push_back(it.data());
  words.push_back(nullptr);
  std::string log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (int stream : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&actions, stream, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  int failed = posix_spawn(&process.pid, words[0], &actions, nullptr,
                           words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("can't start " + process.arguments[0]);
  }
  process.running = true;
}

void Deployment::Start(const std::string& name,
                       std::vector<std::string> arguments) {
  processes_[name].arguments = std::move(arguments);
  Spawn(name);
}

void Deployment::StartPlatform(int list_lag_ms) {
  ports_["store"] = FreePort();
  Start("store",
        {paths_.lab, "store", "--port", std::to_string(ports_["store"])});
  ports_["list"] = FreePort();
  Start("list", {paths_.lab, "list", "--port", std::to_string(ports_["list"]),
                 "--lag-ms", std::to_string(list_lag_ms)});
  auto up = [&] {
    return Call("store", "GET", "/lab/facts", "").status == 200 &&
           Call("list", "GET", "/instances", "").status == 200;
  };
  if (!WaitFor(kStartMs, up)) throw std::runtime_error("no platform");
}

void Deployment::AddUpstream(const std::string& name, const std::string& zone,
                             const std::string& pool, bool engine,
                             const EngineShape& shape) {
  schema::Upstream* it = document_->add_upstreams();
  it->set_name(name);
  it->set_zone(zone);
  it->set_pool(pool);
  it->set_kind(engine ? schema::Upstream::ENGINE : schema::Upstream::SERVICE);
  it->set_address(Address(name));
  if (engine) {
    it->set_adapter_slots(static_cast<uint32_t>(shape.adapter_slots));
    it->set_batch_slots(static_cast<uint32_t>(shape.batch_slots));
  }
}

void Deployment::StartEngine(const std::string& name, const std::string& zone,
                             const EngineShape& shape,
                             const std::string& pool) {
  ports_[name] = FreePort();
  std::vector<std::string> arguments = {
      paths_.lab,        "engine",
      "--name",          name,
      "--port",          std::to_string(ports_[name]),
      "--adapter-slots", std::to_string(shape.adapter_slots),
      "--batch-slots",   std::to_string(shape.batch_slots),
      "--step-ms",       std::to_string(shape.step_ms),
      "--load-ms",       std::to_string(shape.load_ms)};
  if (shape.checks_fencing) arguments.push_back("--checks-fencing");
  Start(name, std::move(arguments));
  AddUpstream(name, zone, pool, true, shape);
  auto up = [&] { return Call(name, "GET", "/metrics", "").status == 200; };
  if (!WaitFor(kStartMs, up)) throw std::runtime_error("no " + name);
}

void Deployment::StartService(const std::string& name, const std::string& zone,
                              const std::string& pool) {
  ports_[name] = FreePort();
  Start(name, {paths_.lab, "service", "--name", name, "--port",
               std::to_string(ports_[name])});
  AddUpstream(name, zone, pool, false, {});
  auto up = [&] { return Call(name, "GET", "/lab/facts", "").status == 200; };
  if (!WaitFor(kStartMs, up)) throw std::runtime_error("no " + name);
}

void Deployment::StartRelay(const std::string& target) {
  uint16_t port = FreePort();
  ports_["relay-" + target] = FreePort();
  Start("relay-" + target,
        {paths_.lab, "relay", "--port", std::to_string(port), "--target-port",
         std::to_string(ports_[target]), "--control-port",
         std::to_string(ports_["relay-" + target])});
  ports_["through-" + target] = port;
  for (schema::Upstream& it : *document_->mutable_upstreams()) {
    if (it.name() == target) it.set_address(Address("through-" + target));
  }
  auto up = [&] {
    return Call("relay-" + target, "POST", "/lab/faults", "{}").status == 200;
  };
  if (!WaitFor(kStartMs, up)) throw std::runtime_error("no relay");
}

void Deployment::SetRelay(const std::string& target, const std::string& mode) {
  Call("relay-" + target, "POST", "/lab/faults",
       json::serialize(json::object{{"mode", mode}}));
}

void Deployment::StartInstance(const std::string& name, const std::string& zone,
                               const InstanceShape& shape) {
  ports_[name] = FreePort();
  ports_[name + "/operator"] = FreePort();
  ports_[name + "/peer"] = FreePort();
  bool relayed = ports_.count("through-store") != 0;
  json::object settings{
      {"instance", name},
      {"zone", zone},
      {"bind_ip", "127.0.0.1"},
      {"caller_port", ports_[name]},
      {"operator_port", ports_[name + "/operator"]},
      {"peer_port", ports_[name + "/peer"]},
      {"store_address", Address(relayed ? "through-store" : "store")},
      {"list_address", Address("list")},
      {"threads", shape.threads},
      {"policy", shape.policy},
      {"deadlines",
       {{"request_ms", shape.request_ms},
        {"queue_ms", shape.queue_ms},
        {"first_byte_ms", shape.first_byte_ms},
        {"progress_ms", shape.progress_ms},
        {"drain_ms", shape.drain_ms}}},
      {"sizes", {{"queue_length", shape.queue_length}}}};
  std::string file = folder_ + "/" + name + ".json";
  std::ofstream(file) << json::serialize(settings);
  listed_[name] = {zone, Address(name + "/peer"), true};
  PublishList();
  Start(name, {paths_.product, "serve", "--settings", file});
  auto up = [&] {
    return Call(name + "/operator", "GET", "/healthz", "").status == 200;
  };
  if (!WaitFor(kStartMs, up)) throw std::runtime_error(Log(name));
}

void Deployment::PublishList() {
  json::array list;
  for (const auto& [name, it] : listed_) {
    if (it.listed) {
      list.push_back({{"instance", name},
                      {"zone", it.zone},
                      {"peer_address", it.peer_address},
                      {"state", "live"}});
    }
  }
  for (const std::string& name : leaving_upstreams_) {
    list.push_back(
        {{"instance", name}, {"role", "upstream"}, {"state", "leaving"}});
  }
  Call("list", "PUT", "/lab/instances",
       json::serialize(json::object{{"instances", std::move(list)}}));
}

void Deployment::Unlist(const std::string& instance) {
  listed_[instance].listed = false;
  PublishList();
}

void Deployment::ListUpstreamLeaving(const std::string& upstream) {
  leaving_upstreams_.push_back(upstream);
  PublishList();
}

void Deployment::AddWorkspace(const std::string& name, double rate,
                              double burst) {
  schema::Workspace* it = document_->add_workspaces();
  it->set_name(name);
  it->set_rate_tokens_per_s(rate);
  it->set_burst_tokens(burst);
}

void Deployment::AddAdapters(const std::string& prefix, int n,
                             const std::string& workspace,
                             const std::string& pool) {
  for (int i = 0; i < n; ++i) {
    schema::Adapter* it = document_->add_adapters();
    it->set_name(fmt::format("{}{}", prefix, i));
    it->set_workspace(workspace);
    it->set_pool(pool);
    it->set_current_version(1);
    for (uint32_t number : {1u, 2u}) {
      schema::AdapterVersion* version = it->add_versions();
      version->set_number(number);
      version->set_source(fmt::format("weights/{}{}/{}", prefix, i, number));
    }
  }
}

void Deployment::AddZone(const std::string& name, uint32_t slots) {
  schema::Zone* it = document_->mutable_fleet()->add_zones();
  it->set_name(name);
  it->set_slots(slots);
}

int Deployment::PutDocument(const std::string& instance, uint64_t base) {
  HttpHeaders headers;
  headers.Add("X-Author", "lab");
  headers.Add("X-Reason", "a test");
  headers.Add("X-Generation", std::to_string(base));
  return Call(instance + "/operator", "PUT", "/document",
              WriteJson(*document_, false), headers)
      .status;
}

std::string Deployment::IssueKey(const std::string& instance,
                                 const std::string& workspace) {
  HttpHeaders headers;
  headers.Add("X-Author", "lab");
  headers.Add("X-Reason", "a test");
  CallOutcome outcome =
      Call(instance + "/operator", "POST", "/keys",
           json::serialize(json::object{{"workspace", workspace}}), headers);
  return StringOr(ParseObject(outcome.body), "key", "");
}

int Deployment::WithdrawKey(const std::string& instance,
                            const std::string& key) {
  HttpHeaders headers;
  headers.Add("X-Author", "lab");
  headers.Add("X-Reason", "a test");
  std::string id = key.substr(3, key.find('_', 3) - 3);
  return Call(instance + "/operator", "DELETE", "/keys/" + id, "", headers)
      .status;
}

void Deployment::Kill(const std::string& name) {
  Process& it = processes_.at(name);
  if (!it.running) return;
  kill(it.pid, SIGKILL);
  waitpid(it.pid, nullptr, 0);
  it.running = false;
}

void Deployment::Freeze(const std::string& name) {
  kill(processes_.at(name).pid, SIGSTOP);
}

void Deployment::Thaw(const std::string& name) {
  kill(processes_.at(name).pid, SIGCONT);
}

int Deployment::Terminate(const std::string& name) {
  Process& it = processes_.at(name);
  kill(it.pid, SIGTERM);
  int status = 0;
  bool ended = WaitFor(
      kStopMs, [&] { return waitpid(it.pid, &status, WNOHANG) == it.pid; });
  if (!ended) return -1;
  it.running = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Deployment::Restart(const std::string& name) { Spawn(name); }

bool Deployment::Alive(const std::string& name) {
  Process& it = processes_.at(name);
  if (it.running && waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
    it.running = false;
  }
  return it.running;
}

std::string Deployment::Address(const std::string& port) const {
  return "127.0.0.1:" + std::to_string(ports_.at(port));
}

pid_t Deployment::Pid(const std::string& name) const {
  return processes_.at(name).pid;
}

CallOutcome Deployment::Call(const std::string& port, const std::string& method,
                             const std::string& target, const std::string& body,
                             const HttpHeaders& headers,
                             CallDeadlines deadlines) {
  HttpCall call;
  call.method = method;
  call.address = Address(port);
  call.target = target;
  call.headers = headers;
  call.body = body;
  call.deadlines = deadlines;
  call.own_connection = true;
  return client_.Run(std::move(call));
}

CallOutcome Deployment::Ask(const std::string& instance, const std::string& key,
                            const std::string& model, int tokens, bool stream,
                            const std::string& text) {
  HttpHeaders headers;
  headers.Add("Authorization", "Bearer " + key);
  headers.Add("Content-Type", "application/json");
  json::object body{
      {"model", model},
      {"max_tokens", tokens},
      {"stream", stream},
      {"messages", {json::object{{"role", "user"}, {"content", text}}}}};
  return Call(instance, "POST", "/v1/chat/completions", json::serialize(body),
              headers);
}

void Deployment::SetFaults(const std::string& name,
                           const json::object& faults) {
  Call(name, "POST", "/lab/faults", json::serialize(faults));
}

json::object Deployment::Facts(const std::string& name) {
  return ParseObject(Call(name, "GET", "/lab/facts", "").body);
}

json::object Deployment::Status(const std::string& instance) {
  return ParseObject(Call(instance + "/operator", "GET", "/status", "").body);
}

double Deployment::Metric(const std::string& instance,
                          const std::string& line) {
  std::string page = Call(instance + "/operator", "GET", "/metrics", "").body;
  std::string needle = "\nbilberrypitch_" + line + " ";
  size_t at = page.find(needle);
  return at == std::string::npos
             ? 0
             : std::strtod(page.c_str() + at + needle.size(), nullptr);
}

std::string Deployment::Log(const std::string& name) const {
  std::ifstream in(folder_ + "/" + name + ".log");
  return {std::istreambuf_iterator<char>(in), {}};
}

bool Deployment::WaitFor(int ms, const std::function<bool()>& done) {
  auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

void Deployment::WaitReady(const std::vector<std::string>& instances) {
  for (const std::string& it : instances) {
    bool ready = WaitFor(kStartMs, [&] {
      return Call(it + "/operator", "GET", "/readyz", "").status == 200;
    });
    if (!ready) throw std::runtime_error(it + " is not ready\n" + Log(it));
  }
}

}  // namespace bilberrypitch::lab
