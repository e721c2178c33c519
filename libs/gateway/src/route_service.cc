// Follows a request up to its choice of an upstream and writes down what it
// depends on.
#include "gateway/route_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "gateway/choice_input.h"
#include "gateway/serving_state.h"
#include "serving/token_count.h"
#include "transport/event_loop.h"
#include "transport/query_string.h"

namespace bilberrypitch {

struct RouteService::Question {
  std::string host;
  std::string path;
  RequestId id;  // Decides between the services of a route.
  WorkspaceId workspace;
  ModelRef model;
  int64_t prompt_tokens = 0;
};

struct RouteService::Decision {
  std::shared_ptr<const ActiveConfig> config;
  const Route* route = nullptr;          // Of `config`.
  const Workspace* workspace = nullptr;  // Of `config`.
  ServiceId service;
  ChoiceInput input;
  // What would happen next; see docs/OPERATIONS.md.
  std::string step;
  std::string reason;
  std::optional<UpstreamChoice> choice;
  std::vector<UpstreamCost> costs;
  // Upstreams of the service that are no candidates, with the reason.
  std::vector<std::pair<const UpstreamState*, std::string>> excluded;
};

namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kMethodNotAllowedStatus = 405;

HttpResponse JsonResponse(int status, const json::object& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

bool ParseTokens(const std::string& text, int64_t* tokens) {
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, *tokens);
  return parsed.ec == std::errc() && parsed.ptr == end &&
         *tokens == BoundTokens(*tokens);
}

const char* KindText(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  return "unknown";
}

template <typename Number>
json::value OrNull(const std::optional<Number>& number) {
  return number ? json::value(*number) : json::value(nullptr);
}

json::object DescribeRoute(const Route& route) {
  json::array services;
  for (const WeightedService& part : route.services) {
    services.push_back(
        json::object{{"service", part.service.str()}, {"weight", part.weight}});
  }
  return {{"name", route.name},
          {"kind", KindText(route.kind)},
          {"timeout_ms", route.timeout.count()},
          {"max_upstreams", route.max_upstreams},
          {"services", std::move(services)}};
}

// Of an upstream that gets no new requests.
const char* ReasonNotUsable(const UpstreamState& upstream) {
  if (upstream.IsZoneEvacuated()) {
    return "its zone is evacuated";
  }
  bool is_leaving =
      upstream.membership.state() == UpstreamMembership::State::kLeaving;
  return is_leaving ? "draining" : "removed from the store";
}

json::object DescribeUpstream(const UpstreamState& upstream, Millis now) {
  json::object object;
  object["upstream"] = upstream.entry.id.str();
  object["zone"] = upstream.entry.zone.str();
  object["draining"] =
      upstream.membership.state() == UpstreamMembership::State::kLeaving;
  object["cold"] = upstream.IsCold();
  object["slowdown"] = upstream.capacity.Slowdown(now);
  object["rate_limit_per_s"] = OrNull(upstream.rate_limit_per_s);
  object["bearable_rejections_per_s"] =
      OrNull(upstream.bearable_rejections_per_s);
  object["slots"] = upstream.entry.slots;
  object["in_flight"] = upstream.TotalInFlight(now);
  object["running"] = upstream.load_report.running;
  object["waiting"] = upstream.load_report.waiting;
  object["pending_prefill_tokens"] = upstream.TotalPendingPrefillTokens(now) +
                                     upstream.QueuedPrefillTokens(now);
  return object;
}

json::object DescribeCost(const UpstreamCost& cost, const ChoiceInput& input) {
  json::object object = DescribeUpstream(*cost.upstream, input.now);
  if (!input.model.model.empty()) {
    object["holds_base_model"] = cost.holds_base_model;
    object["holds_adapter"] = cost.resident;
  }
  if (!cost.holds_base_model) {
    object["excluded"] = "does not hold the base model";
    return object;
  }
  object["cost_ms"] = cost.cost_ms;
  json::object parts;
  for (const CostPart& part : cost.parts) {
    parts[part.name] = part.ms;
  }
  object["cost_parts_ms"] = std::move(parts);
  return object;
}

}  // namespace

std::optional<RouteService::Question> RouteService::ParseQuestion(
    std::string_view query) {
  std::optional<QueryParameters> parameters = ParseQuery(query);
  if (!parameters) {
    return std::nullopt;
  }
  Question question;
  for (const auto& [name, value] : *parameters) {
    if (name == "host") {
      question.host = value;
    } else if (name == "path") {
      question.path = value;
    } else if (name == "id") {
      question.id = RequestId(value);
    } else if (name == "workspace") {
      question.workspace = WorkspaceId(value);
    } else if (name == "model") {
      question.model.model = ModelId(value);
    } else if (name == "adapter") {
      question.model.adapter = AdapterId(value);
    } else if (name != "tokens" ||
               !ParseTokens(value, &question.prompt_tokens)) {
      return std::nullopt;
    }
  }
  return question.host.empty() || question.path.empty()
             ? std::nullopt
             : std::optional(question);
}

HttpResponse RouteService::OnQuery(const HttpRequest& request) const {
  if (request.method != "GET") {
    HttpResponse response = JsonResponse(kMethodNotAllowedStatus,
                                         {{"error", "Only GET is answered."}});
    response.headers.Add("Allow", "GET");
    return response;
  }
  std::optional<Question> question = ParseQuestion(request.query);
  if (!question) {
    return JsonResponse(
        kBadRequestStatus,
        {{"error",
          "The query needs host and path, and may have id, workspace, model, "
          "adapter and tokens, each once."}});
  }
  return JsonResponse(HttpResponse().status, Describe(Decide(*question)));
}

RouteService::Decision RouteService::Decide(const Question& question) const {
  Decision decision;
  decision.input.now = EventLoop::Now();
  decision.config = state_->config;
  decision.reason = ReasonToReject(question, &decision);
  if (!decision.reason.empty()) {
    decision.step = "reject";
    return decision;
  }
  decision.service =
      PickService(*decision.route, StableHash(question.id.str()));
  if (!question.model.model.empty() &&
      !decision.config->CanHoldPrompt(decision.service,
                                      question.prompt_tokens)) {
    decision.step = "reject";
    decision.reason = "the prompt is larger than an engine's memory";
    return decision;
  }
  Choose(question, &decision);
  if (hooks_.path_is_lost()) {
    decision.step = "relay";
    decision.choice.reset();
    decision.reason = "this instance has lost the path to all upstreams";
  }
  return decision;
}

std::string RouteService::ReasonToReject(const Question& question,
                                         Decision* decision) const {
  if (state_->stopping) {
    return "the instance stops";
  }
  if (decision->config == nullptr) {
    return "no configuration is known yet";
  }
  const ActiveConfig& config = *decision->config;
  decision->route = config.FindRoute(question.host, question.path);
  if (decision->route == nullptr) {
    return "no route matches";
  }
  const std::vector<Workspace>& workspaces = config.config().workspaces;
  if (workspaces.empty() || !decision->route->requires_key) {
    return "";
  }
  if (!state_->freshness.MayServe(decision->input.now)) {
    return "whether a key still holds is not known here";
  }
  auto workspace = std::find_if(
      workspaces.begin(), workspaces.end(),
      [&](const Workspace& it) { return it.id == question.workspace; });
  if (workspace == workspaces.end()) {
    return question.workspace.empty() ? "the route needs a workspace"
                                      : "the workspace is not known";
  }
  decision->workspace = &*workspace;
  return "";
}

std::vector<UpstreamState*> RouteService::FindCandidates(
    Decision* decision) const {
  const Route& route = *decision->route;
  bool may_resume = route.kind == RequestKind::kStream && route.resumable;
  Millis now = decision->input.now;
  std::vector<UpstreamState*> candidates;
  for (const auto& [id, upstream] : state_->upstreams.all()) {
    if (upstream->entry.service != decision->service) {
      continue;
    }
    const char* reason = nullptr;
    if (!upstream->IsUsable(now)) {
      reason = ReasonNotUsable(*upstream);
    } else if (may_resume && !hooks_.may_begin_stream(
                                 decision->service, upstream->entry.software)) {
      reason = "no stream may begin at its software version";
    } else if (!upstream->HasRoomIfBrittle(now)) {
      reason = "no room, and it bears few rejections";
    }
    if (reason == nullptr) {
      candidates.push_back(upstream.get());
    } else {
      decision->excluded.emplace_back(upstream.get(), reason);
    }
  }
  return candidates;
}

void RouteService::Choose(const Question& question, Decision* decision) const {
  decision->input = MakeChoiceInput(
      *state_, *decision->config, decision->service, question.model,
      question.prompt_tokens, decision->input.now);
  decision->input.seed =
      StableHash(question.id.str(), state_->settings.machine.str()) | 1;
  decision->choice = ChooseUpstream(FindCandidates(decision), state_->residency,
                                    decision->input, &decision->costs);
  if (!decision->choice) {
    bool is_evacuated =
        std::any_of(decision->excluded.begin(), decision->excluded.end(),
                    [&](const auto& it) {
                      return it.first->IsZoneEvacuated() &&
                             it.first->IsServing(decision->input.now);
                    });
    decision->step = is_evacuated ? "reject" : "wait_for_upstream";
    decision->reason = is_evacuated ? "all its upstreams are in evacuated zones"
                                    : "no upstream can take it";
    return;
  }
  auto candidates = std::count_if(
      decision->costs.begin(), decision->costs.end(),
      [](const UpstreamCost& cost) { return cost.holds_base_model; });
  bool is_cheapest =
      std::none_of(decision->costs.begin(), decision->costs.end(),
                   [&](const UpstreamCost& cost) {
                     return cost.holds_base_model &&
                            cost.cost_ms < decision->choice->cost_ms;
                   });
  decision->reason =
      candidates == 1
          ? "the only candidate"
          : fmt::format(
                "{} of {} candidates",
                is_cheapest ? "lowest cost" : "drawn at random by the costs",
                candidates);
  bool waits_for_prefill =
      decision->input.prompt_tokens > 0 &&
      decision->config->MaxEventGapOf(decision->service) > Millis(0);
  if (decision->choice->upstream->rate_limit_per_s) {
    decision->step = "ask_for_permit";
  } else if (!decision->choice->resident) {
    decision->step = "load_adapter";
  } else {
    decision->step = waits_for_prefill ? "ask_for_prefill" : "send";
  }
}

json::object RouteService::Describe(const Decision& decision) const {
  json::object body;
  body["machine"] = state_->settings.machine.str();
  body["zone"] = state_->settings.zone.str();
  body["decision"] = decision.step;
  body["reason"] = decision.reason;
  body["upstream"] =
      decision.choice ? json::value(decision.choice->upstream->entry.id.str())
                      : json::value(nullptr);
  if (decision.config != nullptr) {
    body["config"] = decision.config->version();
  }
  if (decision.route != nullptr) {
    body["route"] = DescribeRoute(*decision.route);
  }
  if (decision.workspace != nullptr) {
    body["workspace"] =
        json::object{{"id", decision.workspace->id.str()},
                     {"rate_per_s", decision.workspace->rate_per_s},
                     {"burst", decision.workspace->burst},
                     {"charged", false}};
  }
  body["service"] = decision.service.str();
  body["model"] = ToString(decision.input.model);
  body["minimum_version"] = decision.input.minimum_version;
  body["prompt_tokens"] = decision.input.prompt_tokens;
  body["permit_wait_ms"] = decision.input.permit_wait_ms;
  json::array candidates;
  for (const UpstreamCost& cost : decision.costs) {
    candidates.push_back(DescribeCost(cost, decision.input));
  }
  for (const auto& [upstream, reason] : decision.excluded) {
    json::object object = DescribeUpstream(*upstream, decision.input.now);
    object["excluded"] = reason;
    candidates.push_back(std::move(object));
  }
  body["candidates"] = std::move(candidates);
  return body;
}

}  // namespace bilberrypitch
