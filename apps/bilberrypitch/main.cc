// The bilberrypitch program: runs an instance (serve) and offers commands that
// check files, replay traces, explain requests and explain routing decisions.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "explain/explain.h"
#include "platform_serve.h"
#include "replay/replay.h"
#include "route_command.h"
#include "schema/settings.pb.h"
#include "settings_file.h"

namespace bilberrypitch {
namespace {

namespace po = boost::program_options;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitInvalidInput = 2;
constexpr char kVersion[] = "0.2.0";

constexpr char kHelp[] =
    "usage: bilberrypitch COMMAND [OPTIONS]\n"
    "  serve [--boot FILE] [--settings FILE]   run an instance\n"
    "  check [--boot FILE] [--settings FILE]   check files; exit code 2 on "
    "errors\n"
    "  replay TRACE...                         compare traces with their "
    "expected outcomes\n"
    "  explain REQUEST-ID LOG...               timeline of a request from "
    "logs\n"
    "  route --address IP:PORT --host HOST --path PATH [--workspace ID]\n"
    "        [--model MODEL] [--adapter ADAPTER] [--tokens N] [--id ID]\n"
    "                                          where an instance would send "
    "a request now, and why\n"
    "--boot is the platform's boot file; default: $BILBERRYPITCH_BOOT.\n"
    "--settings is the program's settings file, in JSON; optional.\n"
    "--help and --version print and exit.\n";

// Parses the options --boot and --settings. Prints a message and returns
// std::nullopt if `args` are invalid.
std::optional<SettingsPaths> ParsePaths(const std::vector<std::string>& args) {
  SettingsPaths paths;
  po::options_description options("options");
  options.add_options()("boot", po::value(&paths.boot_file),
                        "path of the boot file")(
      "settings", po::value(&paths.settings_file), "path of the settings file");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(args).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& e) {
    fmt::print(stderr, "bilberrypitch: {}\n", e.what());
    return std::nullopt;
  }
  return paths;
}

int Check(const std::vector<std::string>& args) {
  std::optional<SettingsPaths> paths = ParsePaths(args);
  if (!paths) {
    return kExitInvalidInput;
  }
  if (paths->boot_file.empty() && paths->settings_file.empty()) {
    fmt::print(stderr, "bilberrypitch: check needs --boot or --settings\n");
    return kExitInvalidInput;
  }
  schema::Settings settings;
  bool valid = ReadSettingsFile(paths->settings_file, &settings);
  if (!paths->boot_file.empty()) {
    valid = CheckBootFile(paths->boot_file) && valid;
  }
  return valid ? kExitSuccess : kExitInvalidInput;
}

int Serve(const std::vector<std::string>& args) {
  std::optional<SettingsPaths> paths = ParsePaths(args);
  return paths ? ServeOnPlatform(*paths) : kExitInvalidInput;
}

// Prints a message and returns false if the file can't be read.
bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream stream(path);
  if (!stream) {
    fmt::print(stderr, "bilberrypitch: cannot read {}\n", path);
    return false;
  }
  text->assign(std::istreambuf_iterator<char>(stream), {});
  return true;
}

int Explain(const std::vector<std::string>& args) {
  if (args.size() < 2) {
    fmt::print(
        stderr,
        "bilberrypitch: explain needs a request id and at least one log\n");
    return kExitInvalidInput;
  }
  std::vector<NamedLog> logs;
  for (size_t i = 1; i < args.size(); ++i) {
    NamedLog log;
    log.name = std::filesystem::path(args[i]).stem().string();
    if (!ReadFile(args[i], &log.text)) {
      return kExitInvalidInput;
    }
    logs.push_back(std::move(log));
  }
  std::vector<std::string> timeline = ExplainRequest(args[0], logs);
  for (const std::string& line : timeline) {
    fmt::print("{}\n", line);
  }
  if (timeline.empty()) {
    fmt::print(stderr, "bilberrypitch: no log contains request {}\n", args[0]);
  }
  return timeline.empty() ? kExitFailure : kExitSuccess;
}

int Replay(const std::vector<std::string>& paths) {
  bool all_match = !paths.empty();
  for (const std::string& path : paths) {
    std::string text;
    if (!ReadFile(path, &text)) {
      return kExitInvalidInput;
    }
    ReplayResult result = ReplayTrace(text);
    bool has_mismatches = !result.mismatches.empty();
    fmt::print("{}: {} steps, {}\n", path, result.steps,
               has_mismatches ? "differs" : "as expected");
    for (const std::string& mismatch : result.mismatches) {
      fmt::print("  {}\n", mismatch);
    }
    all_match = all_match && !has_mismatches;
  }
  return all_match ? kExitSuccess : kExitFailure;
}

int Main(int argc, char** argv) {
  std::vector<std::string> args(argv + 1, argv + argc);
  std::string command = args.empty() ? "" : args[0];
  if (command == "--help" || command == "help") {
    fmt::print("{}", kHelp);
    return kExitSuccess;
  }
  if (command == "--version") {
    fmt::print("bilberrypitch {}\n", kVersion);
    return kExitSuccess;
  }
  if (!args.empty()) {
    args.erase(args.begin());
  }
  if (command == "serve") {
    return Serve(args);
  }
  if (command == "check") {
    return Check(args);
  }
  if (command == "explain") {
    return Explain(args);
  }
  if (command == "route") {
    return ExplainRoute(args);
  }
  if (command == "replay") {
    return Replay(args);
  }
  fmt::print(stderr, "{}", kHelp);
  return kExitInvalidInput;
}

}  // namespace
}  // namespace bilberrypitch

int main(int argc, char** argv) { return bilberrypitch::Main(argc, argv); }
