// bilberrypitch_lab: stand-ins of what bilberrypitch serves, each a process of
// its own. Not shipped.
#include <fmt/format.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>

#include "engine.h"
#include "experiment.h"
#include "idle_cost.h"
#include "plain_service.h"
#include "platform_list.h"
#include "platform_store.h"
#include "rate_comparison.h"
#include "relay.h"
#include "slopes.h"

namespace bilberrypitch::lab {
namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;

// Blocks SIGTERM and SIGINT for all threads to come, so that WaitForStop gets
// them.
void BlockStopSignals(sigset_t* signals) {
  sigemptyset(signals);
  sigaddset(signals, SIGTERM);
  sigaddset(signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, signals, nullptr);
}

int WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

using Command = std::function<int(int, char**, const sigset_t&)>;

po::variables_map Parse(int argc, char** argv,
                        const po::options_description& options) {
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(options).run(), values);
  po::notify(values);
  return values;
}

int RunEngine(int argc, char** argv, const sigset_t& signals) {
  EngineOptions it;
  po::options_description options("engine");
  auto add = options.add_options();
  add("name", po::value(&it.name)->required(), "name");
  add("port", po::value(&it.port)->required(), "port on the loopback address");
  add("adapter-slots", po::value(&it.adapter_slots), "adapters held at once");
  add("batch-slots", po::value(&it.batch_slots), "sequences run at once");
  add("step-ms", po::value(&it.step_ms), "time for a token");
  add("load-ms", po::value(&it.load_ms), "time for a load");
  add("checks-fencing", po::bool_switch(&it.checks_fencing),
      "refuse orders with an old fencing number");
  Parse(argc, argv, options);
  Engine engine(it);
  return WaitForStop(signals);
}

int RunService(int argc, char** argv, const sigset_t& signals) {
  std::string name;
  uint16_t port = 0;
  po::options_description options("service");
  auto add = options.add_options();
  add("name", po::value(&name)->required(), "name");
  add("port", po::value(&port)->required(), "port");
  Parse(argc, argv, options);
  PlainService service(name, port);
  return WaitForStop(signals);
}

int RunStore(int argc, char** argv, const sigset_t& signals) {
  uint16_t port = 0;
  po::options_description options("store");
  options.add_options()("port", po::value(&port)->required(), "port");
  Parse(argc, argv, options);
  PlatformStore store(port);
  return WaitForStop(signals);
}

int RunList(int argc, char** argv, const sigset_t& signals) {
  uint16_t port = 0;
  int64_t lag_ms = 0;
  po::options_description options("list");
  auto add = options.add_options();
  add("port", po::value(&port)->required(), "port");
  add("lag-ms", po::value(&lag_ms), "how late the list is");
  Parse(argc, argv, options);
  PlatformList list(port, lag_ms);
  return WaitForStop(signals);
}

int RunRelay(int argc, char** argv, const sigset_t& signals) {
  uint16_t port = 0;
  uint16_t target_port = 0;
  uint16_t control_port = 0;
  po::options_description options("relay");
  auto add = options.add_options();
  add("port", po::value(&port)->required(), "port");
  add("target-port", po::value(&target_port)->required(), "where to pass to");
  add("control-port", po::value(&control_port)->required(), "for faults");
  Parse(argc, argv, options);
  Relay relay(port, "127.0.0.1", target_port, control_port);
  return WaitForStop(signals);
}

// The product stands beside this program's folder in the build tree unless
// --product names it.
ProgramPaths PathsOf(const std::string& product) {
  std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  std::filesystem::path build = self.parent_path().parent_path().parent_path();
  std::string beside = (build / "apps/bilberrypitch/bilberrypitch").string();
  return {product.empty() ? beside : product, self.string()};
}

int RunExperimentFile(int argc, char** argv, const sigset_t& signals) {
  (void)signals;
  std::string file;
  std::string out = "report";
  std::string product;
  po::options_description options("run");
  auto add = options.add_options();
  add("experiment", po::value(&file)->required(), "experiment file");
  add("out", po::value(&out), "where the report goes, without ending");
  add("product", po::value(&product), "the program to measure");
  po::positional_options_description positions;
  positions.add("experiment", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(options)
                .positional(positions)
                .run(),
            values);
  po::notify(values);
  return RunExperiment(PathsOf(product), file, out);
}

// A command that measures something and has no option but where to report.
Command Measurement(const char* name,
                    const std::function<int(const std::string&)>& measure) {
  return [name, measure](int argc, char** argv, const sigset_t&) {
    std::string out = name;
    po::options_description options(name);
    options.add_options()("out", po::value(&out), "where the report goes");
    Parse(argc, argv, options);
    return measure(out);
  };
}

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"engine", RunEngine},
      {"service", RunService},
      {"store", RunStore},
      {"list", RunList},
      {"relay", RunRelay},
      {"run", RunExperimentFile},
      {"slopes", Measurement("slopes", MeasureSlopes)},
      {"rates", Measurement("rates", CompareRates)},
      {"idle", Measurement("idle",
                           [](const std::string& out) {
                             return MeasureIdle(PathsOf(""), out);
                           })},
      {"added", Measurement("added",
                            [](const std::string& out) {
                              return MeasureAdded(PathsOf(""), out);
                            })},
  };
  return commands;
}

int Main(int argc, char** argv) {
  auto it = argc < 2 ? Commands().end() : Commands().find(argv[1]);
  if (it == Commands().end()) {
    fmt::print(stderr, "usage: bilberrypitch_lab COMMAND [OPTIONS]\n");
    for (const auto& [name, command] : Commands()) {
      fmt::print(stderr, "  {}\n", name);
    }
    return kUsageError;
  }
  sigset_t signals;
  BlockStopSignals(&signals);
  signal(SIGPIPE, SIG_IGN);
  try {
    return it->second(argc - 1, argv + 1, signals);
  } catch (const std::exception& e) {
    fmt::print(stderr, "lab: {}\n", e.what());
    return kUsageError;
  }
}

}  // namespace
}  // namespace bilberrypitch::lab

int main(int argc, char** argv) { return bilberrypitch::lab::Main(argc, argv); }
