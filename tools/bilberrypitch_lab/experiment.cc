// Experiments.
#include "experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iterator>
#include <thread>

#include "load_generator.h"
#include "report.h"
#include "schema/document.pb.h"
#include "schema/experiment.pb.h"
#include "schema/json_reader.h"

namespace bilberrypitch::lab {
namespace {

constexpr int kListLagMs = 300;
constexpr int kSettleMs = 3000;
// Before the measured time the slots are filled quickly.
constexpr double kWarmLoadFactor = 10;
constexpr double kWarmRequestFactor = 2.5;

// One deployment as the experiment describes it.
class Trial {
 public:
  Trial(const ProgramPaths& paths, const schema::Experiment& experiment,
        const schema::Scenario& scenario, const std::string& policy)
      : experiment_(experiment), scenario_(scenario), deployment_(paths) {
    bool relays =
        std::any_of(scenario.failures().begin(), scenario.failures().end(),
                    [](const auto& it) { return it.action() == "silence"; });
    deployment_.StartPlatform(kListLagMs);
    StartEngines(relays);
    AddWorkspaces();
    StartInstances(policy);
  }

  TrialResult Run() {
    std::vector<LoadWorkspace> workspaces = MakeWorkspaces();
    LoadOptions options;
    options.requests_per_s = experiment_.load().requests_per_s();
    options.zipf = experiment_.load().zipf();
    options.output_tokens =
        static_cast<int>(experiment_.load().output_tokens());
    options.seed = experiment_.load().seed();
    for (const std::string& it : instances_) {
      options.addresses.push_back(deployment_.Address(it));
    }
    options.seconds = experiment_.load().warm_seconds();
    options.requests_per_s *= kWarmRequestFactor;
    LoadGenerator(deployment_.client(), options, workspaces).Run([](double) {});
    StateRealRates();
    options.requests_per_s /= kWarmRequestFactor;
    TrialCounts before = Count();
    options.seconds = experiment_.load().seconds();
    options.seed += 1;
    options.shift_every_s = scenario_.shift_every_s();
    options.loud_workspace = scenario_.loud_workspace();
    options.loud_factor = std::max(1.0, scenario_.loud_factor());
    size_t next = 0;
    LoadGenerator load(deployment_.client(), options, workspaces);
    load.Run([&](double now) {
      while (next < static_cast<size_t>(scenario_.failures_size()) &&
             scenario_.failures(static_cast<int>(next)).at_s() <= now) {
        Act(scenario_.failures(static_cast<int>(next++)));
      }
    });
    TrialResult result;
    result.outcomes = load.outcomes();
    result.counts = Count() - before;
    return result;
  }

 private:
  void StartEngines(bool relays) {
    const schema::ExperimentEngine& engine = experiment_.engine();
    EngineShape shape;
    shape.adapter_slots = static_cast<int>(engine.adapter_slots());
    shape.batch_slots = static_cast<int>(engine.batch_slots());
    shape.step_ms = static_cast<int>(engine.step_ms());
    shape.load_ms = static_cast<int>(engine.load_ms());
    int n = 0;
    for (const schema::ExperimentZone& zone : experiment_.zones()) {
      for (uint32_t i = 0; i < zone.engines(); ++i) {
        std::string name = fmt::format("engine-{}", ++n);
        deployment_.StartEngine(name, zone.name(), shape);
        if (relays) deployment_.StartRelay(name);
        engines_.push_back(name);
      }
    }
  }

  void AddWorkspaces() {
    for (const schema::ExperimentWorkspace& it : experiment_.workspaces()) {
      deployment_.AddWorkspace(it.name(),
                               it.rate_tokens_per_s() * kWarmLoadFactor,
                               it.burst_tokens() * kWarmLoadFactor);
      deployment_.AddAdapters(it.name() + "-", AdaptersOf(it), it.name());
    }
    deployment_.document().mutable_fleet()->set_loads_per_s(
        experiment_.loads_per_s() * kWarmLoadFactor);
  }

  int AdaptersOf(const schema::ExperimentWorkspace& it) const {
    return std::max(
        1, static_cast<int>(it.adapter_share() * experiment_.adapters()));
  }

  void StartInstances(const std::string& policy) {
    InstanceShape shape;
    shape.policy = policy;
    int n = 0;
    for (const schema::ExperimentZone& zone : experiment_.zones()) {
      deployment_.AddZone(zone.name(), zone.instances());
      for (uint32_t i = 0; i < zone.instances(); ++i) {
        instances_.push_back(fmt::format("entry-{}", ++n));
        deployment_.StartInstance(instances_.back(), zone.name(), shape);
      }
    }
    if (deployment_.PutDocument(instances_[0], 0) != 200) {
      throw std::runtime_error("the document was refused");
    }
    deployment_.WaitReady(instances_);
  }

  std::vector<LoadWorkspace> MakeWorkspaces() {
    std::vector<LoadWorkspace> workspaces;
    for (const schema::ExperimentWorkspace& it : experiment_.workspaces()) {
      LoadWorkspace workspace;
      workspace.name = it.name();
      workspace.key = deployment_.IssueKey(instances_[0], it.name());
      workspace.rate_tokens_per_s = it.rate_tokens_per_s();
      workspace.burst_tokens = it.burst_tokens();
      workspace.share = it.share();
      for (int i = 0; i < AdaptersOf(it); ++i) {
        workspace.adapters.push_back(fmt::format("{}-{}", it.name(), i));
      }
      workspaces.push_back(std::move(workspace));
    }
    // The keys are in force and the slots of the rates have owners.
    std::this_thread::sleep_for(std::chrono::milliseconds(kSettleMs));
    return workspaces;
  }

  void StateRealRates() {
    std::string port = instances_[0] + "/operator";
    CallOutcome stands = deployment_.Call(port, "GET", "/document", "");
    deployment_.document().Clear();
    ReadJson(stands.body, &deployment_.document());
    schema::Document& document = deployment_.document();
    document.mutable_fleet()->set_loads_per_s(experiment_.loads_per_s());
    for (int i = 0; i < experiment_.workspaces_size(); ++i) {
      const schema::ExperimentWorkspace& it = experiment_.workspaces(i);
      document.mutable_workspaces(i)->set_rate_tokens_per_s(
          it.rate_tokens_per_s());
      document.mutable_workspaces(i)->set_burst_tokens(it.burst_tokens());
    }
    std::string generation(stands.headers.Get("X-Generation"));
    if (deployment_.PutDocument(instances_[0], std::stoull(generation)) !=
        200) {
      throw std::runtime_error("the document was refused");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kSettleMs));
  }

  void Act(const schema::Failure& it) {
    const std::string& target = it.target();
    if (it.action() == "kill") {
      deployment_.Kill(target);
    } else if (it.action() == "restart") {
      deployment_.Kill(target);
      deployment_.Restart(target);
    } else if (it.action() == "freeze") {
      deployment_.Freeze(target);
    } else if (it.action() == "thaw") {
      deployment_.Thaw(target);
    } else if (it.action() == "fail_loads") {
      deployment_.SetFaults(target, {{"fail_loads", true}});
    } else if (it.action() == "mend") {
      deployment_.SetFaults(target, json::object());
    } else if (it.action() == "store_out") {
      deployment_.SetFaults("store", {{"out", true}});
    } else if (it.action() == "store_slow") {
      deployment_.SetFaults("store", {{"delay_ms", 400}});
    } else if (it.action() == "store_back") {
      deployment_.SetFaults("store", json::object());
    } else if (it.action() == "silence") {
      deployment_.SetRelay(target, "silence_open");
    }
  }

  TrialCounts Count() {
    TrialCounts counts;
    for (const std::string& it : engines_) {
      json::object facts = deployment_.Facts(it);
      counts.tokens += IntOr(facts, "tokens", 0);
      counts.steps += IntOr(facts, "steps", 0);
      counts.filled_slots += IntOr(facts, "filled_slots", 0);
      counts.adapters_in_batches += IntOr(facts, "adapters_in_batches", 0);
      counts.loads += IntOr(facts, "loads", 0);
      counts.evicted_while_serving += IntOr(facts, "evicted_while_serving", 0);
      counts.credentials_seen += IntOr(facts, "credentials_seen", 0);
      counts.batch_slots = IntOr(facts, "batch_slots", counts.batch_slots);
    }
    for (const std::string& it : instances_) {
      if (!deployment_.Alive(it)) continue;
      counts.stall_seconds += deployment_.Metric(it, "load_stall_seconds_sum");
      counts.stall_count += deployment_.Metric(it, "load_stall_seconds_count");
      counts.processor_s += deployment_.Metric(it, "process_cpu_seconds");
      counts.peer_bytes += deployment_.Metric(it, "peer_bytes_sent");
      counts.store_calls +=
          deployment_.Metric(it, "store_calls{kind=\"read\"}") +
          deployment_.Metric(it, "store_calls{kind=\"write\"}");
    }
    return counts;
  }

  const schema::Experiment& experiment_;
  const schema::Scenario& scenario_;
  Deployment deployment_;
  std::vector<std::string> engines_;
  std::vector<std::string> instances_;
};

struct Sample {
  std::vector<double> first_token_ms;
  double processor_s = 0;
};

}  // namespace

int RunExperiment(const ProgramPaths& paths, const std::string& file,
                  const std::string& out) {
  std::ifstream in(file);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  schema::Experiment experiment;
  std::vector<FieldError> errors = ReadJson(text, &experiment);
  if (!in || !errors.empty()) {
    fmt::print(stderr, "{}: {}\n", file, FormatErrors(errors));
    return 2;
  }
  Report report(experiment.name());
  for (const schema::Scenario& scenario : experiment.scenarios()) {
    for (const char* policy : {"baseline", "standard"}) {
      Trial trial(paths, experiment, scenario, policy);
      TrialResult result = trial.Run();
      report.Add(scenario.name(), policy, result);
      fmt::print("{}\n", report.LastLine());
      std::fflush(stdout);
    }
  }
  std::ofstream(out + ".json") << report.Json() << "\n";
  std::ofstream(out + ".svg") << report.Svg();
  return report.broken_invariants() == 0 ? 0 : 1;
}

int MeasureAdded(const ProgramPaths& paths, const std::string& out) {
  constexpr int kRequests = 400;
  constexpr int kTokens = 20;
  Deployment it(paths);
  it.StartPlatform(kListLagMs);
  EngineShape shape;
  shape.step_ms = 1;
  it.StartEngine("engine-1", "a", shape);
  it.AddWorkspace("w", 1e8, 1e9);
  it.AddAdapters("a", 1, "w");
  it.AddZone("a", 1);
  it.StartInstance("entry-1", "a");
  it.PutDocument("entry-1", 0);
  std::string key = it.IssueKey("entry-1", "w");
  it.WaitReady({"entry-1"});
  Deployment::WaitFor(
      20000, [&] { return it.Ask("entry-1", key, "a0", 1).status == 200; });
  json::object models =
      ParseObject(it.Call("engine-1", "GET", "/v1/models", "").body);
  std::string loaded = StringOr(models.at("data").at(0).get_object(), "id", "");
  auto run = [&](const std::string& at, const std::string& model, int tokens) {
    Sample sample;
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    double before = it.Metric("entry-1", "process_cpu_seconds");
    for (int i = 0; i < kRequests; ++i) {
      auto begun = std::chrono::steady_clock::now();
      double first = -1;
      HttpCall call;
      call.method = "POST";
      call.address = it.Address(at);
      call.target = "/v1/chat/completions";
      if (at != "engine-1") call.headers.Add("Authorization", "Bearer " + key);
      call.body = fmt::format(
          R"({{"model":"{}","messages":[],"stream":true,"max_tokens":{}}})",
          model, tokens);
      call.on_data = [&](std::string_view) {
        if (first < 0) {
          first = std::chrono::duration<double, std::milli>(
                      std::chrono::steady_clock::now() - begun)
                      .count();
        }
        return true;
      };
      it.client()->Run(std::move(call));
      sample.first_token_ms.push_back(first);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    sample.processor_s = it.Metric("entry-1", "process_cpu_seconds") - before;
    return sample;
  };
  Sample direct = run("engine-1", loaded, 1);
  Sample through = run("entry-1", "a0", 1);
  Sample longer = run("entry-1", "a0", kTokens + 1);
  // What the instance spends without requests, in the time of a run.
  Sample idle = direct;
  double added50 = Percentile(through.first_token_ms, 0.5) -
                   Percentile(direct.first_token_ms, 0.5);
  double added99 = Percentile(through.first_token_ms, 0.99) -
                   Percentile(direct.first_token_ms, 0.99);
  double request_us =
      (through.processor_s - idle.processor_s) / kRequests * 1e6;
  double token_us =
      (longer.processor_s - through.processor_s) / (kRequests * kTokens) * 1e6;
  json::object report{{"requests", kRequests},
                      {"added_ms_p50", added50},
                      {"added_ms_p99", added99},
                      {"direct_ms_p50", Percentile(direct.first_token_ms, 0.5)},
                      {"processor_us_per_request", request_us},
                      {"processor_us_per_token", token_us}};
  std::ofstream(out + ".json") << json::serialize(report) << "\n";
  fmt::print("{}\n", json::serialize(report));
  return 0;
}

}  // namespace bilberrypitch::lab
