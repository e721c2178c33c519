// bilberrypitch_lab: stand-ins of what bilberrypitch serves, each a process of
// its own, and a demonstration. Not shipped.
#include <fmt/format.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>

#include "demo.h"
#include "deployment.h"
#include "engine_server.h"
#include "relay.h"
#include "store_server.h"

namespace bilberrypitch::lab {
namespace {

namespace po = boost::program_options;

constexpr int kDone = 0;
constexpr int kUsageError = 2;

void Parse(int argc, char** argv, const po::options_description& options) {
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(options).run(), values);
  po::notify(values);
}

int RunUpstream(int argc, char** argv) {
  EngineOptions it;
  po::options_description options("upstream");
  auto add = options.add_options();
  add("id", po::value(&it.id)->required(), "its id in the store");
  add("service", po::value(&it.service)->required(), "service it belongs to");
  add("zone", po::value(&it.zone)->required(), "availability zone");
  add("port", po::value(&it.port)->required(), "port on the loopback address");
  add("public-port", po::value(&it.public_port), "port of its entry");
  add("store", po::value(&it.store)->required(), "IP:port of the store");
  add("model", po::value(&it.model), "base model; none: a plain service");
  add("adapter-slots", po::value(&it.adapter_slots), "adapters held at once");
  add("batch-slots", po::value(&it.batch_slots), "requests run at once");
  add("step-ms", po::value(&it.step_ms), "time for a token");
  add("load-ms", po::value(&it.load_ms), "time for a load");
  Parse(argc, argv, options);
  EventLoop loop;
  EngineServer engine(&loop, it);
  loop.HandleSignals({SIGTERM, SIGINT},
                     [&](int) { engine.Drain([&loop] { loop.Stop(); }); });
  loop.Run();
  return kDone;
}

int RunStore(int argc, char** argv) {
  uint16_t port = 0;
  po::options_description options("store");
  options.add_options()("port", po::value(&port)->required(), "port");
  Parse(argc, argv, options);
  EventLoop loop;
  StoreServer store(&loop, port);
  loop.HandleSignals({SIGTERM, SIGINT}, [&](int) { loop.Stop(); });
  loop.Run();
  return kDone;
}

int RunRelay(int argc, char** argv) {
  uint16_t port = 0;
  uint16_t target_port = 0;
  uint16_t control_port = 0;
  po::options_description options("relay");
  auto add = options.add_options();
  add("port", po::value(&port)->required(), "port");
  add("target-port", po::value(&target_port)->required(), "where to pass to");
  add("control-port", po::value(&control_port)->required(), "for faults");
  Parse(argc, argv, options);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Relay relay(port, "127.0.0.1", target_port, control_port);
  int received = 0;
  sigwait(&signals, &received);
  return kDone;
}

// The product stands beside this program's folder in the build tree.
ProgramPaths Paths() {
  std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  std::filesystem::path build = self.parent_path().parent_path().parent_path();
  return {(build / "apps/bilberrypitch/bilberrypitch").string(), self.string()};
}

int RunDemo(int, char**) { return Demonstrate(Paths()); }

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
  auto it = argc < 2 ? Commands().end() : Commands().find(argv[1]);
  if (it == Commands().end()) {
    fmt::print(stderr, "usage: bilberrypitch_lab COMMAND [OPTIONS]\n");
    for (const auto& [name, command] : Commands()) {
      fmt::print(stderr, "  {}\n", name);
    }
    return kUsageError;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    return it->second(argc - 1, argv + 1);
  } catch (const std::exception& e) {
    fmt::print(stderr, "lab: {}\n", e.what());
    return kUsageError;
  }
}

}  // namespace
}  // namespace bilberrypitch::lab

int main(int argc, char** argv) { return bilberrypitch::lab::Main(argc, argv); }
