// bilberrypitch_lab runs fakes of the services that bilberrypitch depends on,
// each as a separate process, and a demonstration. It is not shipped.
#include <fmt/format.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>

#include "demo.h"
#include "deployment.h"
#include "fake_store.h"
#include "fake_upstream.h"
#include "relay.h"

namespace bilberrypitch::lab {
namespace {

namespace po = boost::program_options;

constexpr int kSuccess = 0;
constexpr int kUsageError = 2;

void ParseOptions(int argc, char** argv,
                  const po::options_description& options) {
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(options).run(), values);
  po::notify(values);
}

int RunUpstream(int argc, char** argv) {
  FakeUpstreamOptions upstream_options;
  po::options_description options("upstream");
  auto add = options.add_options();
  add("id", po::value(&upstream_options.id)->required(),
      "id of the entry in the store");
  add("service", po::value(&upstream_options.service)->required(),
      "service that the upstream belongs to");
  add("zone", po::value(&upstream_options.zone)->required(),
      "availability zone");
  add("port", po::value(&upstream_options.port)->required(),
      "port on the loopback address");
  add("public-port", po::value(&upstream_options.public_port),
      "port in the entry in the store; default: --port");
  add("store", po::value(&upstream_options.store)->required(),
      "IP:port of the store");
  add("model", po::value(&upstream_options.model),
      "base model; without it: a plain service");
  add("adapter-slots", po::value(&upstream_options.adapter_slots),
      "maximum number of loaded adapters");
  add("batch-slots", po::value(&upstream_options.batch_slots),
      "maximum number of running requests");
  add("step-ms", po::value(&upstream_options.step_ms), "time per token, in ms");
  add("load-ms", po::value(&upstream_options.load_ms),
      "time per adapter load, in ms");
  ParseOptions(argc, argv, options);
  EventLoop loop;
  FakeUpstream upstream(&loop, upstream_options);
  loop.HandleSignals({SIGTERM, SIGINT},
                     [&](int) { upstream.Drain([&loop] { loop.Stop(); }); });
  loop.Run();
  return kSuccess;
}

int RunStore(int argc, char** argv) {
  uint16_t port = 0;
  po::options_description options("store");
  options.add_options()("port", po::value(&port)->required(), "port");
  ParseOptions(argc, argv, options);
  EventLoop loop;
  FakeStore store(&loop, port);
  loop.HandleSignals({SIGTERM, SIGINT}, [&](int) { loop.Stop(); });
  loop.Run();
  return kSuccess;
}

int RunRelay(int argc, char** argv) {
  uint16_t port = 0;
  uint16_t target_port = 0;
  uint16_t control_port = 0;
  po::options_description options("relay");
  auto add = options.add_options();
  add("port", po::value(&port)->required(), "port");
  add("target-port", po::value(&target_port)->required(),
      "port to forward connections to");
  add("control-port", po::value(&control_port)->required(),
      "port of /lab/faults");
  ParseOptions(argc, argv, options);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Relay relay(port, "127.0.0.1", target_port, control_port);
  int received = 0;
  sigwait(&signals, &received);
  return kSuccess;
}

// Finds the gateway in the build tree that this program was started from.
ProgramPaths FindPrograms() {
  std::filesystem::path self_path =
      std::filesystem::read_symlink("/proc/self/exe");
  std::filesystem::path build_dir =
      self_path.parent_path().parent_path().parent_path();
  return {(build_dir / "apps/bilberrypitch/bilberrypitch").string(),
          self_path.string()};
}

int RunDemo(int, char**) { return RunDemonstration(FindPrograms()); }

using Command = std::function<int(int, char**)>;

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"upstream", RunUpstream},
      {"store", RunStore},
      {"relay", RunRelay},
      {"demo", RunDemo},
  };
  return commands;
}

int Main(int argc, char** argv) {
  auto selected = argc < 2 ? Commands().end() : Commands().find(argv[1]);
  if (selected == Commands().end()) {
    fmt::print(stderr, "usage: bilberrypitch_lab COMMAND [OPTIONS]\n");
    for (const auto& [name, command] : Commands()) {
      fmt::print(stderr, "  {}\n", name);
    }
    return kUsageError;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    return selected->second(argc - 1, argv + 1);
  } catch (const std::exception& e) {
    fmt::print(stderr, "lab: {}\n", e.what());
    return kUsageError;
  }
}

}  // namespace
}  // namespace bilberrypitch::lab

int main(int argc, char** argv) { return bilberrypitch::lab::Main(argc, argv); }
