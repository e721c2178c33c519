// bilberrypitch: an entry instance and the operator's commands.
#include <fmt/format.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "base/log.h"
#include "config/document_check.h"
#include "config/settings.h"
#include "node/node.h"
#include "operator_commands.h"
#include "platform_serve.h"
#include "replay/replay.h"
#include "schema/document.pb.h"
#include "schema/settings.pb.h"

namespace bilberrypitch {
namespace {

namespace po = boost::program_options;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;
constexpr char kVersion[] = "0.1.0";

constexpr char kHelp[] =
    "usage: bilberrypitch COMMAND [OPTIONS]\n"
    "  serve [--boot FILE]                run an instance on the platform\n"
    "  serve --settings FILE              run an instance of its own\n"
    "  check --boot FILE | --settings FILE | --document FILE\n"
    "                                     check a file; exit code 2 on errors\n"
    "  replay TRACE...                    compare traces with their outcomes\n"
    "  status                             state of an instance\n"
    "  document get | put --file FILE     read or replace the document\n"
    "  key issue WORKSPACE | withdraw ID | list\n"
    "  audit                              the trail of accepted changes\n"
    "The operator's commands take --operator IP:PORT; changes take --author\n"
    "and --reason. --help and --version print and exit.\n";

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream in(path);
  if (!in) {
    fmt::print(stderr, "bilberrypitch: {} can't be read.\n", path);
    return false;
  }
  text->assign(std::istreambuf_iterator<char>(in), {});
  return true;
}

int PrintErrors(const std::string& path,
                const std::vector<FieldError>& errors) {
  for (const FieldError& it : errors) {
    fmt::print(stderr, "{}: {}: {}\n", path, it.path, it.message);
  }
  return errors.empty() ? kDone : kWrongUse;
}

struct FileOptions {
  std::string boot;
  std::string settings;
  std::string document;
};

bool ParseFileOptions(const std::vector<std::string>& words, FileOptions* it) {
  po::options_description options("options");
  options.add_options()("boot", po::value(&it->boot), "platform's file")(
      "settings", po::value(&it->settings), "settings file")(
      "document", po::value(&it->document), "document file");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(words).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& e) {
    fmt::print(stderr, "bilberrypitch: {}\n", e.what());
    return false;
  }
  return true;
}

int Check(const std::vector<std::string>& words) {
  FileOptions files;
  int given = 0;
  if (ParseFileOptions(words, &files)) {
    given = static_cast<int>(!files.boot.empty()) +
            static_cast<int>(!files.settings.empty()) +
            static_cast<int>(!files.document.empty());
  }
  if (given != 1) {
    fmt::print(stderr,
               "bilberrypitch: check takes one file of --boot, "
               "--settings and --document.\n");
    return kWrongUse;
  }
  if (!files.boot.empty()) {
    return CheckBootFile(files.boot);
  }
  std::string text;
  const std::string& path =
      files.settings.empty() ? files.document : files.settings;
  if (!ReadFile(path, &text)) {
    return kWrongUse;
  }
  schema::Settings settings;
  schema::Document document;
  return PrintErrors(path, files.settings.empty()
                               ? ReadDocument(text, &document)
                               : ReadSettings(text, &settings));
}

int Serve(const std::vector<std::string>& words) {
  FileOptions files;
  std::string text;
  if (!ParseFileOptions(words, &files)) {
    return kWrongUse;
  }
  if (files.settings.empty()) {
    return ServeOnPlatform(BootFilePath(files.boot));
  }
  schema::Settings settings;
  if (!ReadFile(files.settings, &text) ||
      PrintErrors(files.settings, ReadSettings(text, &settings)) != kDone) {
    return kWrongUse;
  }
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(settings.log_level(), &level);
  SetLogLevel(level);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    Node node(settings);
    int received = 0;
    sigwait(&signals, &received);
    return node.Drain() ? kDone : kFailed;
  } catch (const std::exception& e) {
    LogLine(LogLevel::kError, "node", e.what());
    return kFailed;
  }
}

int Replay(const std::vector<std::string>& files) {
  bool same = !files.empty();
  for (const std::string& file : files) {
    std::string text;
    if (!ReadFile(file, &text)) {
      return kWrongUse;
    }
    ReplayResult result = ReplayTrace(text);
    bool differs = !result.differences.empty();
    fmt::print("{}: {} steps, {}\n", file, result.steps,
               differs ? "differs" : "as stated");
    for (const std::string& it : result.differences) {
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
  if (command == "serve" || command == "check") {
    words.erase(words.begin());
    return command == "serve" ? Serve(words) : Check(words);
  }
  if (command == "replay") {
    words.erase(words.begin());
    return Replay(words);
  }
  if (command.empty() || command[0] == '-') {
    fmt::print(stderr, "{}", kHelp);
    return kWrongUse;
  }
  return RunOperatorCommand(words);
}

}  // namespace
}  // namespace bilberrypitch

int main(int argc, char** argv) { return bilberrypitch::Main(argc, argv); }
