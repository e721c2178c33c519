// bilberrypitch: an instance, and the commands beside it.
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
#include "schema/settings.pb.h"
#include "settings_file.h"

namespace bilberrypitch {
namespace {

namespace po = boost::program_options;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;
constexpr char kVersion[] = "0.2.0";

constexpr char kHelp[] =
    "usage: bilberrypitch COMMAND [OPTIONS]\n"
    "  serve [--boot FILE] [--settings FILE]   run an instance\n"
    "  check [--boot FILE] [--settings FILE]   check files; exit code 2 on "
    "errors\n"
    "  replay TRACE...                         compare traces with their "
    "outcomes\n"
    "  explain REQUEST-ID LOG...               story of a request from logs\n"
    "--boot is the platform's file; without it BILBERRYPITCH_BOOT names it.\n"
    "--settings is the program's own file, in JSON; it may be left out.\n"
    "--help and --version print and exit.\n";

// None after a message when the words can't be read.
std::optional<SettingsPaths> ParseFiles(const std::vector<std::string>& words) {
  SettingsPaths files;
  po::options_description options("options");
  options.add_options()("boot", po::value(&files.boot_file), "platform's file")(
      "settings", po::value(&files.settings_file), "own settings");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(words).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& e) {
    fmt::print(stderr, "bilberrypitch: {}\n", e.what());
    return std::nullopt;
  }
  return files;
}

int Check(const std::vector<std::string>& words) {
  std::optional<SettingsPaths> files = ParseFiles(words);
  if (!files) {
    return kWrongUse;
  }
  if (files->boot_file.empty() && files->settings_file.empty()) {
    fmt::print(stderr, "bilberrypitch: check takes --boot or --settings.\n");
    return kWrongUse;
  }
  schema::Settings settings;
  bool good = ReadSettingsFile(files->settings_file, &settings);
  if (!files->boot_file.empty()) {
    good = CheckBootFile(files->boot_file) && good;
  }
  return good ? kDone : kWrongUse;
}

int Serve(const std::vector<std::string>& words) {
  std::optional<SettingsPaths> files = ParseFiles(words);
  return files ? ServeOnPlatform(*files) : kWrongUse;
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream in(path);
  if (!in) {
    fmt::print(stderr, "bilberrypitch: {} can't be read.\n", path);
    return false;
  }
  text->assign(std::istreambuf_iterator<char>(in), {});
  return true;
}

int Explain(const std::vector<std::string>& words) {
  if (words.size() < 2) {
    fmt::print(stderr, "bilberrypitch: explain takes an id and logs.\n");
    return kWrongUse;
  }
  std::vector<NamedLog> logs;
  for (size_t i = 1; i < words.size(); ++i) {
    NamedLog log;
    log.name = std::filesystem::path(words[i]).stem().string();
    if (!ReadFile(words[i], &log.text)) {
      return kWrongUse;
    }
    logs.push_back(std::move(log));
  }
  std::vector<std::string> story = ExplainRequest(words[0], logs);
  for (const std::string& line : story) {
    fmt::print("{}\n", line);
  }
  if (story.empty()) {
    fmt::print(stderr, "bilberrypitch: no log names {}.\n", words[0]);
  }
  return story.empty() ? kFailed : kDone;
}

int Replay(const std::vector<std::string>& files) {
  bool same = !files.empty();
  for (const std::string& file : files) {
    std::string text;
    if (!ReadFile(file, &text)) {
      return kWrongUse;
    }
    ReplayResult result = ReplayTrace(text);
    bool differs = !result.mismatches.empty();
    fmt::print("{}: {} steps, {}\n", file, result.steps,
               differs ? "differs" : "as stated");
    for (const std::string& it : result.mismatches) {
      fmt::print("  {}\n", it);
    }
    same = same && !differs;
  }
  return same ? kDone : kFailed;
}

int Main(int argc, char** argv) {
  std::vector<std::string> words(argv + 1, argv + argc);
  std::string command = words.empty() ? "" : words[0];
  if (command == "--help" || command == "help") {
    fmt::print("{}", kHelp);
    return kDone;
  }
  if (command == "--version") {
    fmt::print("bilberrypitch {}\n", kVersion);
    return kDone;
  }
  if (!words.empty()) {
    words.erase(words.begin());
  }
  if (command == "serve") {
    return Serve(words);
  }
  if (command == "check") {
    return Check(words);
  }
  if (command == "explain") {
    return Explain(words);
  }
  if (command == "replay") {
    return Replay(words);
  }
  fmt::print(stderr, "{}", kHelp);
  return kWrongUse;
}

}  // namespace
}  // namespace bilberrypitch

int main(int argc, char** argv) { return bilberrypitch::Main(argc, argv); }
