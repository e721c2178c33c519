// Sends the question to an instance and prints the decision, one line for the
// request and one for each upstream.
#include "route_command.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "base/json.h"
#include "gateway/route_service.h"
#include "transport/address.h"
#include "transport/http_client.h"
#include "transport/query_string.h"

namespace bilberrypitch {
namespace {

namespace po = boost::program_options;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitInvalidInput = 2;
constexpr int kOkStatus = 200;
constexpr int kFirstServerErrorStatus = 500;
constexpr Millis kTimeout{3000};

constexpr std::pair<const char*, const char*> kParameters[] = {
    {"host", "host name of the request"},
    {"path", "path of the request"},
    {"workspace", "id of the workspace"},
    {"model", "base model"},
    {"adapter", "adapter of the model"},
    {"tokens", "prompt tokens"},
    {"id", "request id, which decides between a route's services"},
};

// Prints a message and returns nothing if `args` are invalid.
std::optional<HttpCall> ParseCall(const std::vector<std::string>& args) {
  HttpCall call;
  po::options_description options("options");
  options.add_options()("address", po::value(&call.address)->required(),
                        "IP:port of an instance for other instances");
  for (const auto& [name, help] : kParameters) {
    options.add_options()(name, po::value<std::string>(), help);
  }
  po::variables_map values;
  try {
    po::store(po::command_line_parser(args).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& e) {
    fmt::print(stderr, "bilberrypitch: {}\n", e.what());
    return std::nullopt;
  }
  if (!ParseAddress(call.address)) {
    fmt::print(stderr, "bilberrypitch: --address needs IP:PORT\n");
    return std::nullopt;
  }
  QueryParameters parameters;
  for (const auto& [name, help] : kParameters) {
    if (values.count(name) > 0) {
      parameters[name] = values[name].as<std::string>();
    }
  }
  call.target = std::string(kRoutePath) + "?" + FormatQuery(parameters);
  call.timeouts.connect = kTimeout;
  call.timeouts.total = kTimeout;
  return call;
}

std::string ValueText(const json::value& value) {
  if (const json::string* text = value.if_string()) {
    const bool has_space = text->find(' ') != json::string::npos;
    return has_space ? fmt::format("\"{}\"", text->c_str())
                     : std::string(text->empty() ? "-" : text->c_str());
  }
  if (const double* number = value.if_double()) {
    return fmt::format("{:.1f}", *number);
  }
  return value.is_null() ? "none" : json::serialize(value);
}

// Fields of objects within `object` follow the object's name in parentheses.
std::string FieldsText(const json::object& object) {
  std::string text;
  for (const auto& [name, value] : object) {
    const json::object* inner = value.if_object();
    text += fmt::format("{}{}", text.empty() ? "" : " ",
                        std::string_view(name.data(), name.size()));
    text += inner != nullptr ? "(" + FieldsText(*inner) + ")"
                             : "=" + ValueText(value);
  }
  return text;
}

void Print(json::object answer) {
  const json::value candidates = std::exchange(answer["candidates"], nullptr);
  answer.erase("candidates");
  fmt::print("{}\n", FieldsText(answer));
  if (const json::array* list = candidates.if_array()) {
    for (const json::value& candidate : *list) {
      if (const json::object* object = candidate.if_object()) {
        fmt::print("  {}\n", FieldsText(*object));
      }
    }
  }
}

}  // namespace

int ExplainRoute(const std::vector<std::string>& args) {
  std::optional<HttpCall> call = ParseCall(args);
  if (!call) {
    return kExitInvalidInput;
  }
  HttpClient client(1);
  const CallOutcome outcome = client.Run(std::move(*call));
  boost::system::error_code ec;
  const json::value answer = json::parse(outcome.body, ec);
  if (outcome.result != CallResult::kComplete || ec || !answer.is_object()) {
    fmt::print(stderr, "bilberrypitch: the instance does not answer\n");
    return kExitFailure;
  }
  if (outcome.status != kOkStatus) {
    fmt::print(stderr, "bilberrypitch: {}\n", FieldsText(answer.as_object()));
    bool is_invalid = outcome.status < kFirstServerErrorStatus;
    return is_invalid ? kExitInvalidInput : kExitFailure;
  }
  Print(answer.as_object());
  return kExitSuccess;
}

}  // namespace bilberrypitch
