// Admission of model requests.
#include "node/model_api.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cmath>

#include "base/hash.h"
#include "node/dispatcher.h"
#include "node/metrics.h"
#include "schema/settings.pb.h"
#include "transport/http_server.h"

namespace bilberrypitch {
namespace {

namespace leaf = boost::leaf;

constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMostOutputTokens = 1 << 20;
constexpr double kBytesPerToken = 4;
// The part of a prompt that decides its place: engines cache prefixes.
constexpr size_t kPrefixBytes = 256;
constexpr int kMostPriority = 100;

leaf::error_id Malformed(std::string detail) {
  return leaf::new_error(
      Error{ErrorKind::kMalformedRequest, std::move(detail), NotRun::kTrue});
}

// The text of the prompt, for its length and its beginning.
std::string PromptText(const json::object& body) {
  if (const json::value* prompt = body.if_contains("prompt")) {
    return json::serialize(*prompt);
  }
  const json::value* messages = body.if_contains("messages");
  return messages == nullptr ? "" : json::serialize(*messages);
}

leaf::result<int64_t> OutputTokens(const json::object& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const json::value* it = body.if_contains(name);
    if (it == nullptr || it->is_null()) {
      continue;
    }
    boost::system::error_code ec;
    auto n = it->to_number<int64_t>(ec);
    if (ec || n < 1 || n > kMostOutputTokens) {
      return Malformed(std::string(name) + " must be a whole number from 1.");
    }
    return n;
  }
  return kDefaultOutputTokens;
}

leaf::result<bool> BoolIn(const json::object& body, const char* name) {
  const json::value* it = body.if_contains(name);
  if (it == nullptr || it->is_null()) {
    return false;
  }
  if (!it->is_bool()) {
    return Malformed(std::string(name) + " must be true or false.");
  }
  return it->get_bool();
}

}  // namespace

ModelApi::ModelApi(const NodeContext& context, Dispatcher* dispatcher)
    : context_(context), dispatcher_(dispatcher) {}

leaf::result<ModelRequestFacts> ModelApi::Admit(const HttpRequest& request,
                                                const RequestId& id,
                                                const Caller& caller,
                                                Millis now) const {
  boost::system::error_code ec;
  json::value parsed = json::parse(request.body, ec);
  if (ec || !parsed.is_object()) {
    return Malformed("The body is not a JSON object.");
  }
  ModelRequestFacts facts;
  facts.body = std::move(parsed.get_object());
  const json::value* model = facts.body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Malformed("`model` must be a string.");
  }
  bool chat = request.path == "/v1/chat/completions";
  const char* prompt = chat ? "messages" : "prompt";
  if (!facts.body.contains(prompt)) {
    return Malformed(std::string("`") + prompt + "` is missing.");
  }
  if (chat && !facts.body.at("messages").is_array()) {
    return Malformed("`messages` must be a list.");
  }
  facts.model = std::string(model->get_string());
  std::shared_ptr<const Catalog> catalog = context_.catalog();
  auto adapter = catalog->Resolve(facts.model);
  bool visible = adapter && (adapter->workspace.empty() ||
                             adapter->workspace == caller.workspace);
  if (!visible) {
    // The same answer for another workspace's adapter: names don't leak.
    return leaf::new_error(Error{ErrorKind::kUnknownAdapter,
                                 "No such adapter or version.", NotRun::kTrue});
  }
  BOOST_LEAF_AUTO(output_tokens, OutputTokens(facts.body));
  BOOST_LEAF_ASSIGN(facts.stream, BoolIn(facts.body, "stream"));
  std::string text = PromptText(facts.body);
  const WorkspaceEntry* workspace = catalog->FindWorkspace(caller.workspace);
  facts.id = id;
  facts.key_id = caller.key_id;
  facts.workspace = caller.workspace;
  facts.weight = workspace == nullptr ? 1 : workspace->weight;
  facts.adapter = *adapter;
  facts.path = request.path;
  facts.prompt_tokens =
      std::ceil(static_cast<double>(text.size()) / kBytesPerToken);
  facts.most_output_tokens = static_cast<double>(output_tokens);
  facts.affinity =
      StableHash(facts.adapter.ref.adapter.str(), text.substr(0, kPrefixBytes));
  facts.fingerprint = FingerprintOf(facts.model, request.body);
  facts.admitted = now;
  facts.deadline = now + Millis(context_.settings->deadlines().request_ms());
  if (const json::value* it = facts.body.if_contains("priority")) {
    boost::system::error_code priority_ec;
    auto n = it->to_number<int>(priority_ec);
    facts.priority =
        priority_ec ? 0 : std::clamp(n, -kMostPriority, kMostPriority);
  }
  return facts;
}

void ModelApi::Complete(const HttpRequest& request, const RequestId& id,
                        const Caller& caller,
                        std::shared_ptr<Responder> responder, Millis now) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(facts, Admit(request, id, caller, now));
        auto it = std::make_shared<ModelRequest>(
            std::move(facts), responder,
            context_.settings->sizes().stream_backlog_bytes());
        dispatcher_->Submit(std::move(it), now);
        return {};
      },
      [&](const Error& error) {
        context_.metrics->Add(
            "refused_total",
            "kind=\"" + std::string(AnswerFor(error.kind).name) + "\"");
        responder->Send(ErrorResponse(error, id.str()));
      },
      [&] {
        responder->Send(
            ErrorResponse({ErrorKind::kInternal, "", NotRun::kTrue}, id.str()));
      });
}

HttpResponse ModelApi::ListModels(const Caller& caller) const {
  json::array data;
  for (const std::string& name :
       context_.catalog()->AdaptersFor(caller.workspace)) {
    data.push_back({{"id", name},
                    {"object", "model"},
                    {"owned_by", caller.workspace.str()}});
  }
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(
      json::object{{"object", "list"}, {"data", std::move(data)}});
  return response;
}

}  // namespace bilberrypitch
