// The operator's commands.
#include "operator_commands.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "base/json.h"
#include "transport/http_client.h"

namespace bilberrypitch {
namespace {

namespace po = boost::program_options;

constexpr int kDone = 0;
constexpr int kRefused = 1;
constexpr int kWrongUse = 2;
constexpr Millis kDeadline{30 * 1000};

struct Options {
  std::string address = "127.0.0.1:8081";
  std::string author;
  std::string reason;
  std::string file;
  std::string generation;
  std::vector<std::string> words;
};

bool ParseOptions(const std::vector<std::string>& words, Options* it) {
  po::options_description options("options");
  auto add = options.add_options();
  add("operator", po::value(&it->address), "operators' port, IP:port");
  add("author", po::value(&it->author), "who changes, for the audit trail");
  add("reason", po::value(&it->reason), "why, for the audit trail");
  add("file", po::value(&it->file), "document to put");
  add("base", po::value(&it->generation), "generation the change is based on");
  add("word", po::value(&it->words), "");
  po::positional_options_description positions;
  positions.add("word", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(words)
                  .options(options)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& e) {
    fmt::print(stderr, "bilberrypitch: {}\n", e.what());
    return false;
  }
  if (it->author.empty()) {
    const char* user = std::getenv("USER");
    it->author = user == nullptr ? "" : user;
  }
  return true;
}

HttpCall MakeCall(const Options& options, const char* method,
                  std::string target) {
  HttpCall call;
  call.method = method;
  call.address = options.address;
  call.target = std::move(target);
  call.deadlines = {kDeadline, kDeadline, kDeadline, kDeadline};
  call.max_answer_bytes = 256 << 20;
  if (!options.author.empty()) call.headers.Add("X-Author", options.author);
  if (!options.reason.empty()) call.headers.Add("X-Reason", options.reason);
  if (const char* token = std::getenv("BILBERRYPITCH_OPERATOR_TOKEN")) {
    call.headers.Add("Authorization", std::string("Bearer ") + token);
  }
  return call;
}

// Prints the answer's body, or the error to standard error.
int Print(const CallOutcome& outcome) {
  if (outcome.result != CallResult::kComplete) {
    fmt::print(stderr, "bilberrypitch: the instance can't be reached.\n");
    return kRefused;
  }
  if (outcome.status >= 300) {
    boost::system::error_code ec;
    json::value value = json::parse(outcome.body, ec);
    const json::value* error = !ec && value.is_object()
                                   ? value.get_object().if_contains("error")
                                   : nullptr;
    if (error != nullptr && error->is_object()) {
      fmt::print(stderr, "bilberrypitch: {}: {}\n",
                 std::string(error->at("type").as_string()),
                 std::string(error->at("message").as_string()));
    } else {
      fmt::print(stderr, "bilberrypitch: status {}\n", outcome.status);
    }
    return kRefused;
  }
  std::fwrite(outcome.body.data(), 1, outcome.body.size(), stdout);
  std::fputc('\n', stdout);
  return kDone;
}

int PutDocument(const Options& options, HttpClient* client) {
  std::ifstream in(options.file);
  if (options.file.empty() || !in) {
    fmt::print(stderr, "bilberrypitch: --file can't be read.\n");
    return kWrongUse;
  }
  HttpCall call = MakeCall(options, "PUT", "/document");
  call.body.assign(std::istreambuf_iterator<char>(in), {});
  std::string base = options.generation;
  if (base.empty()) {
    CallOutcome stands = client->Run(MakeCall(options, "GET", "/document"));
    base = std::string(stands.headers.Get("X-Generation"));
  }
  call.headers.Add("X-Generation", base);
  return Print(client->Run(std::move(call)));
}

int Usage() {
  fmt::print(stderr,
             "usage: bilberrypitch status | document get | document put --file "
             "F [--base N]\n"
             "       key issue WORKSPACE | key withdraw ID | key list | audit\n"
             "       each with --operator IP:PORT, changes with --author and "
             "--reason\n");
  return kWrongUse;
}

}  // namespace

int RunOperatorCommand(const std::vector<std::string>& words) {
  Options options;
  if (!ParseOptions(words, &options)) {
    return kWrongUse;
  }
  HttpClient client(1);
  std::string command;
  for (size_t i = 0; i < options.words.size() && i < 2; ++i) {
    command += (i == 0 ? "" : " ") + options.words[i];
  }
  auto get = [&](const char* target) {
    return Print(client.Run(MakeCall(options, "GET", target)));
  };
  if (command == "status") return get("/status");
  if (command == "audit") return get("/audit");
  if (command == "document get") return get("/document");
  if (command == "document put") return PutDocument(options, &client);
  if (command == "key list") return get("/keys");
  if (command == "key issue" && options.words.size() == 3) {
    HttpCall call = MakeCall(options, "POST", "/keys");
    call.body = json::serialize(json::object{{"workspace", options.words[2]}});
    return Print(client.Run(std::move(call)));
  }
  if (command == "key withdraw" && options.words.size() == 3) {
    return Print(
        client.Run(MakeCall(options, "DELETE", "/keys/" + options.words[2])));
  }
  return Usage();
}

}  // namespace bilberrypitch
